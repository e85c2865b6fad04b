package timeline

import (
	"fmt"
	"html"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/job"
)

// Sizes of the picture in pixels.
const (
	svgWidth      = 1200
	svgMargin     = 150
	svgTop        = 60
	svgLaneHeight = 46
	svgBarHeight  = 10
	// svgMaxTargets bounds the lanes of targets. A job of 1,900 tasks may use hundreds
	// of targets, and a picture of that size is unreadable.
	svgMaxTargets = 40
)

// svgPicture draws one submission across processes. It has a lane for each entry and
// each target, and time runs from left to right.
type svgPicture struct {
	out             strings.Builder
	lanes           map[string]int
	order           []string
	start           time.Time
	span            time.Duration
	events          []Event
	targetsNotDrawn int
}

// WriteSVG writes a picture of one submission of the time line.
func WriteSVG(w io.Writer, t Timeline, id job.ID) error {
	p := &svgPicture{lanes: map[string]int{}, events: t.EventsOf(id)}
	if len(p.events) == 0 {
		return errors.NotFoundf("submission %s in the time line", id)
	}
	p.assignLanes()
	p.writeHeader(id)
	p.drawLanes()
	p.drawTasks()
	p.drawMessages()
	p.drawEvents()
	p.writeFooter(t)
	_, err := io.WriteString(w, p.out.String())
	return errors.Trace(err)
}

func (p *svgPicture) assignLanes() {
	p.start = p.events[0].Stamp.Time()
	p.span = max(p.events[len(p.events)-1].Stamp.Time().Sub(p.start), time.Millisecond)
	var targets []string
	for i := range p.events {
		ev := &p.events[i]
		p.addLane("entry " + string(ev.Entry))
		if ev.HasTask() && ev.Target != "" && !slices.Contains(targets, string(ev.Target)) {
			targets = append(targets, string(ev.Target))
		}
	}
	slices.Sort(targets)
	if len(targets) > svgMaxTargets {
		p.targetsNotDrawn = len(targets) - svgMaxTargets
		targets = targets[:svgMaxTargets]
	}
	for _, id := range targets {
		p.addLane("target " + id)
	}
}

func (p *svgPicture) addLane(name string) {
	if _, ok := p.lanes[name]; ok {
		return
	}
	p.lanes[name] = len(p.order)
	p.order = append(p.order, name)
}

func (p *svgPicture) x(t time.Time) int {
	usable := svgWidth - svgMargin - 40
	return svgMargin + int(int64(usable)*int64(t.Sub(p.start))/int64(p.span))
}

func (p *svgPicture) y(lane int) int { return svgTop + lane*svgLaneHeight + svgLaneHeight/2 }

func (p *svgPicture) height() int { return svgTop + len(p.order)*svgLaneHeight + 60 }

func (p *svgPicture) printf(format string, args ...any) { fmt.Fprintf(&p.out, format, args...) }

func (p *svgPicture) writeHeader(id job.ID) {
	p.printf(`<svg xmlns="http://www.w3.org/2000/svg" width="%d" height="%d" font-family="sans-serif" font-size="12">`+"\n", svgWidth, p.height())
	p.printf(`<rect width="100%%" height="100%%" fill="white"/>` + "\n")
	p.printf(`<text x="10" y="24" font-size="16">submission %s, %s over %d lanes</text>`+"\n", html.EscapeString(string(id)), p.span, len(p.order))
}

func (p *svgPicture) drawLanes() {
	for i, name := range p.order {
		p.printf(`<text x="10" y="%d">%s</text>`+"\n", p.y(i)+4, html.EscapeString(name))
		p.printf(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#ccc"/>`+"\n", svgMargin, p.y(i), svgWidth-20, p.y(i))
	}
	const ticks = 5
	for i := range ticks + 1 {
		at := p.span * time.Duration(i) / ticks
		x := p.x(p.start.Add(at))
		p.printf(`<text x="%d" y="%d" fill="#666">+%s</text>`+"\n", x-10, svgTop-8, at.Round(time.Millisecond/10))
	}
}

// drawTasks draws each task as a bar on the lane of its target, from start to end.
func (p *svgPicture) drawTasks() {
	for i := range p.events {
		ev := &p.events[i]
		lane, ok := p.lanes["target "+string(ev.Target)]
		if ev.Kind != TaskStarted || !ok {
			continue
		}
		end, failed := p.endOf(i)
		colour := "#4a90d9"
		if failed {
			colour = "#d0433a"
		}
		x := p.x(ev.Stamp.Time())
		p.printf(`<rect x="%d" y="%d" width="%d" height="%d" fill="%s" fill-opacity="0.5"><title>task %d</title></rect>`+"\n",
			x, p.y(lane)-svgBarHeight/2, max(p.x(end)-x, 2), svgBarHeight, colour, ev.Task)
	}
}

func (p *svgPicture) endOf(start int) (time.Time, bool) {
	from := &p.events[start]
	for i := start + 1; i < len(p.events); i++ {
		ev := &p.events[i]
		if ev.Task == from.Task && (ev.Kind == TaskEnded || ev.Kind == TaskRetried) {
			return ev.Stamp.Time(), ev.Reason != ""
		}
	}
	return p.events[len(p.events)-1].Stamp.Time(), true
}

// drawMessages draws a line from the sending of each message to its receipt.
func (p *svgPicture) drawMessages() {
	for i := range p.events {
		ev := &p.events[i]
		to, ok := p.lanes["entry "+string(ev.Peer)]
		if !ok || (ev.Kind != BatchOffered && ev.Kind != BatchReported) {
			continue
		}
		at := ev.Stamp.Time()
		if got := p.receiptOf(i); got != nil {
			at = got.Stamp.Time()
		}
		from := p.lanes["entry "+string(ev.Entry)]
		p.printf(`<line x1="%d" y1="%d" x2="%d" y2="%d" stroke="#555" stroke-dasharray="4 2"/>`+"\n",
			p.x(ev.Stamp.Time()), p.y(from), p.x(at), p.y(to))
	}
}

func (p *svgPicture) receiptOf(sent int) *Event {
	for i := sent + 1; i < len(p.events); i++ {
		ev := &p.events[i]
		received := ev.Kind == BatchReceived || ev.Kind == TaskQueued
		if received && ev.Entry == p.events[sent].Peer && ev.Peer == p.events[sent].Entry {
			return ev
		}
	}
	return nil
}

func (p *svgPicture) drawEvents() {
	for i := range p.events {
		ev := &p.events[i]
		x, y := p.x(ev.Stamp.Time()), p.y(p.lanes["entry "+string(ev.Entry)])
		colour := "#2c7a4b"
		if ev.Reason != "" {
			colour = "#d0433a"
		}
		p.printf(`<circle cx="%d" cy="%d" r="4" fill="%s"><title>+%s %s</title></circle>`+"\n",
			x, y, colour, ev.Stamp.Time().Sub(p.start), html.EscapeString(sentence(ev)))
		if !ev.HasTask() {
			p.printf(`<text x="%d" y="%d" font-size="10" fill="#333">%s</text>`+"\n", x+5, y-6-(i%2)*10, html.EscapeString(string(ev.Kind)))
		}
	}
}

func (p *svgPicture) writeFooter(t Timeline) {
	y := svgTop + len(p.order)*svgLaneHeight + 20
	if p.targetsNotDrawn > 0 {
		p.printf(`<text x="10" y="%d" fill="#d0433a">%d more targets are not drawn</text>`+"\n", y, p.targetsNotDrawn)
		y += 16
	}
	var story Story
	t.addMissing(&story, p.events[0].Stamp)
	for _, m := range story.Missing {
		p.printf(`<text x="10" y="%d" fill="#d0433a">missing: %s</text>`+"\n", y, html.EscapeString(m))
		y += 16
	}
	p.printf("</svg>\n")
}
