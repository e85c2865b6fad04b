package replay

import (
	"math"
	"time"
)

// hiveKinds is a mix in which the most urgent kind is short and wide, and each task needs
// half of a usual target. With hiveSite the mix uses about 60% of the capacity.
func hiveKinds() []kind {
	return []kind{
		{"check", 47, 8, 60 * time.Millisecond, usualStretch, usualDeclaredError, 0},
		{"permit", 8.6, 4, 900 * time.Millisecond, usualStretch, usualDeclaredError, 2},
		{"hold", 137, 2, 200 * time.Millisecond, usualStretch, usualDeclaredError, 1},
	}
}

// hiveMillis is the mean size of a task of hiveKinds, in thousandths of a processor.
const hiveMillis = 16000

// hiveSite has two zones of 40 targets with two holders each.
func hiveSite() site {
	s := defaultSite()
	s.zones, s.holders, s.owners, s.targets = 2, 2, 2, 40
	s.processors, s.speeds = []int{32, 32, 48}, []float64{1}
	s.millis = hiveMillis
	return s
}

func hiveLoad(x float64) traffic {
	return traffic{kinds: hiveKinds(), until: 6 * time.Second, factor: constantFactor(x), zones: []float64{1, 1}, millis: hiveMillis}
}

// channelKinds is a similar mix for targets that run at 0.6, 1 or 1.6 of the usual speed.
func channelKinds() []kind {
	return []kind{
		{"check", 41, 8, 51 * time.Millisecond, usualStretch, usualDeclaredError, 0},
		{"permit", 7.5, 4, 760 * time.Millisecond, usualStretch, usualDeclaredError, 2},
		{"hold", 120, 2, 170 * time.Millisecond, usualStretch, usualDeclaredError, 1},
	}
}

// channelSite is hiveSite with targets of three speeds.
func channelSite() site {
	s := hiveSite()
	s.speeds = []float64{1 / 0.6, 1, 1 / 1.6}
	return s
}

// channelLoad swings by 55% over 13 s.
func channelLoad(x float64) traffic {
	l := hiveLoad(x)
	l.kinds = channelKinds()
	l.factor = func(at time.Duration) float64 { return x * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/13)) }
	return l
}
