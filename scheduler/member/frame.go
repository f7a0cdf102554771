package member

import (
	"bufio"
	"encoding/binary"
	"io"

	"google.golang.org/protobuf/proto"
)

// maxMessage bounds the size in bytes of one message between instances.
const maxMessage = 1 << 20

// maxValue bounds an application value, and the values of one heartbeat unless
// it is a single one.
const maxValue = 256 << 10

// writeFrame writes m after its length in a single call of Write, so that a
// small message takes one packet.
func writeFrame(w io.Writer, m proto.Message) error {
	size := proto.Size(m)
	if size > maxMessage {
		return &SizeError{Size: size, Limit: maxMessage}
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
	if size > maxMessage {
		return &SizeError{Size: int(min(size, 1<<31-1)), Limit: maxMessage}
	}
	body := make([]byte, size)
	if _, err := io.ReadFull(r, body); err != nil {
		return err
	}
	return proto.Unmarshal(body, m)
}
