package http1

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// boundedChunks reads chunks of a bounded size, up to the last one. A malformed size, or one beyond the bound, is an error before a
// byte of its chunk is returned.
type boundedChunks struct {
	buffered   *bufio.Reader
	max        int64
	left       int64
	atChunkEnd bool // the CRLF after a chunk is still to be read
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
	n, err := b.buffered.Read(p)
	b.left -= int64(n)
	if err == io.EOF {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}

// maxChunkLine bounds the line of a chunk's size and extensions, in bytes.
const maxChunkLine = 256

// next reads up to the first byte of a chunk; io.EOF = it was the last one.
func (b *boundedChunks) next() error {
	if b.atChunkEnd {
		line, err := readLine(b.buffered, 0)
		if err != nil || len(line) > 0 {
			return chunkError(err, "a chunk does not fit its size")
		}
	}
	b.atChunkEnd = true
	line, err := readLine(b.buffered, maxChunkLine)
	if err != nil {
		return chunkError(err, "a chunk's size has no end")
	}
	text, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimRight(text, " \t"), 16, 63)
	if err != nil {
		return newError(502, "chunk size %q cannot be read", truncate(text))
	}
	if int64(size) > b.max {
		return newError(502, "chunk of %d bytes exceeds %d", size, b.max)
	}
	if b.left = int64(size); size == 0 {
		return io.EOF
	}
	return nil
}

// chunkError turns an error between two chunks into one of the message, unless the connection or a timeout caused it.
func chunkError(err error, reason string) error {
	var e *Error
	switch {
	case err == io.EOF:
		return io.ErrUnexpectedEOF
	case err == nil || err == errLineTooLong || errors.As(err, &e):
		return newError(502, "%s", reason)
	}
	return err
}

// chunkedBody reads a chunked body and then its trailer, so that the connection can be reused.
type chunkedBody struct {
	buffered *bufio.Reader
	chunks   io.Reader
	limits   Limits
	done     bool
}

func (b *chunkedBody) Read(p []byte) (int, error) {
	if b.done {
		return 0, io.EOF
	}
	n, err := b.chunks.Read(p)
	if err == io.EOF {
		if err = readTrailer(b.buffered, b.limits); err == nil {
			b.done, err = true, io.EOF
		} else if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
	}
	return n, err
}

// sizedBody reads a body of a stated length; an earlier end is io.ErrUnexpectedEOF.
type sizedBody struct {
	source io.Reader
	left   int64
}

func (b *sizedBody) Read(p []byte) (int, error) {
	if b.left <= 0 {
		return 0, io.EOF
	}
	if int64(len(p)) > b.left {
		p = p[:b.left]
	}
	n, err := b.source.Read(p)
	b.left -= int64(n)
	if err == io.EOF && b.left > 0 {
		err = io.ErrUnexpectedEOF
	}
	return n, err
}
