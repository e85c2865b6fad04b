package register

import (
	"bytes"
	"compress/flate"
	"io"

	"github.com/juju/errors"

	"github.com/vanillagrade/vanillagrade/internal/config"
)

// pack compresses a file. The voters agree on the packed bytes, which are also sent
// and stored. A file of a large fleet has some hundred lines that differ in a single
// word, and every change sends it to every entry.
func pack(body []byte) []byte {
	var b bytes.Buffer
	w, err := flate.NewWriter(&b, flate.BestCompression)
	if err != nil {
		panic("register: the compression level is out of range")
	}
	// Writing to a buffer does not fail.
	_, _ = w.Write(body)
	_ = w.Close()
	return b.Bytes()
}

// unpack decompresses a file. It stops at the maximum file size, so that a
// malicious input can't exhaust the memory.
func unpack(packed []byte) ([]byte, error) {
	r := flate.NewReader(bytes.NewReader(packed))
	body, err := io.ReadAll(io.LimitReader(r, config.MaxFileBytes+1))
	if err != nil {
		return nil, errors.Annotate(err, "unpacking a file")
	}
	if len(body) > config.MaxFileBytes {
		return nil, errors.NotValidf("packed file of more than %d bytes", config.MaxFileBytes)
	}
	return body, nil
}
