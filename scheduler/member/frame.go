package member

import (
	"bufio"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"
)

// maxMessageSize is the maximum size in bytes of one message between instances.
const maxMessageSize = 1 << 20

// maxValueSize is the maximum size in bytes of an application value, and of all
// values in one heartbeat unless there is only one.
const maxValueSize = 256 << 10

// writeFrame writes m with a length prefix in a single call of Write, so that a
// small message takes one packet.
func writeFrame(w io.Writer, m proto.Message) error {
	size := proto.Size(m)
	if size > maxMessageSize {
		return &SizeError{Size: size, Limit: maxMessageSize}
	}
	frame := make([]byte, 0, size+binary.MaxVarintLen32)
	frame = binary.AppendUvarint(frame, uint64(size))
	frame, err := proto.MarshalOptions{}.MarshalAppend(frame, m)
	if err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// readFrame reads one message written by writeFrame.
func readFrame(r *bufio.Reader, m proto.Message) error {
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > maxMessageSize {
		return &SizeError{Size: int(min(size, 1<<31-1)), Limit: maxMessageSize}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return proto.Unmarshal(body, m)
}
