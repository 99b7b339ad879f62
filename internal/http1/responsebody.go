package http1

import (
	"bufio"
	"errors"
	"io"
	"strconv"
	"strings"
)

// boundedChunks reads chunks of a limited size, up to the last one. If a chunk's size is malformed or exceeds the limit, the read fails
// before a byte of that chunk is returned.
type boundedChunks struct {
	buffered   *bufio.Reader
	max        int64 // maximum size of a chunk in bytes
	left       int64 // unread bytes of the current chunk
	atChunkEnd bool  // the CRLF after a chunk must be read next
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

// maxChunkLine is the maximum length of the line with a chunk's size and extensions, in bytes.
const maxChunkLine = 256

// next reads up to the first data byte of the next chunk. It returns io.EOF after the last chunk.
func (b *boundedChunks) next() error {
	if b.atChunkEnd {
		line, err := readLine(b.buffered, 0)
		if err != nil || len(line) > 0 {
			return chunkError(err, "chunk data does not match its size")
		}
	}
	b.atChunkEnd = true
	line, err := readLine(b.buffered, maxChunkLine)
	if err != nil {
		return chunkError(err, "chunk size line is malformed or too long")
	}
	sizeText, _, _ := strings.Cut(string(line), ";")
	size, err := strconv.ParseUint(strings.TrimRight(sizeText, " \t"), 16, 63)
	if err != nil {
		return newError(502, "chunk size %q is malformed", truncate(sizeText))
	}
	if int64(size) > b.max {
		return newError(502, "chunk of %d bytes exceeds the limit of %d", size, b.max)
	}
	if b.left = int64(size); size == 0 {
		return io.EOF
	}
	return nil
}

// chunkError turns an error between two chunks into an *Error, unless it is a connection error or a timeout.
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

// sizedBody reads a body with a Content-Length. It returns io.ErrUnexpectedEOF if the connection ends earlier.
type sizedBody struct {
	source io.Reader
	left   int64 // unread bytes of the body
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
