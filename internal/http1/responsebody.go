package http1

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// boundedChunks reads chunks of a bounded size, up to the last one. A size that cannot be read, or is beyond the bound, is
// an error before a byte of its chunk is passed on.
type boundedChunks struct {
	br   *bufio.Reader
	max  int64
	left int64
	tail bool // the line end behind a chunk is still to be read
}

func (b *boundedChunks) Read(p []byte) (int, error) {
	if b.left == 0 {
		if err := b.next(); err != nil {
			return 0, err
		}
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.br.Read(p)
	b.left -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// next reads up to the first byte of a chunk; io.EOF = it was the last one.
func (b *boundedChunks) next() error {
	if b.tail {
		line, err := readLine(b.br, 0)
		if err != nil || len(line) > 0 {
			return chunkError(err, "a chunk does not fit its size")
		}
	}
	b.tail = true
	line, err := readLine(b.br, 256)
	if err != nil {
		return chunkError(err, "a chunk's size has no end")
	}
	text, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimRight(text, " \t"), 16, 63)
	if err != nil {
		return bad(502, "chunk size %q cannot be read", clip(text))
	}
	if int64(size) > b.max {
		return bad(502, "chunk of %d bytes exceeds %d", size, b.max)
	}
	if b.left = int64(size); size == 0 {
		return io.EOF
	}
	return nil
}

// chunkError names what is wrong between chunks, where the peer and the time are not.
func chunkError(err error, reason string) error {
	var e *Error
	switch {
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	case err == nil || err == errLineTooLong || errors.As(err, &e):
		return bad(502, "%s", reason)
	}
	return err
}

// chunkedBody reads a chunked body and then its trailer, so that the connection can be used again.
type chunkedBody struct {
	br   *bufio.Reader
	r    io.Reader
	lim  Limits
	done bool
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.r.Read(p)
	if err == io.EOF {
		if err = readTrailer(b.br, b.lim); err == nil {
			b.done, err = true, io.EOF
		} else if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
	}
	return n, err
}

// sizedBody reads so many bytes; an earlier end is an error.
type sizedBody struct {
	r    io.Reader
	left int64
}

func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.r.Read(p)
	b.left -= int64(n)
	if err == io.EOF && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
