package server

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// readBase reads a base: what it says, and the generation of its log.
func readBase(data []byte) (generation uint64, text []byte, err error) {
	switch {
	case len(data) < baseHeaderSize || !bytes.HasPrefix(data, []byte(baseMagic)):
		return 0, nil, errors.New("no base of a seat, or one of a build that is not known here")
	case int(binary.LittleEndian.Uint32(data[16:])) != len(data)-baseHeaderSize:
		return 0, nil, fmt.Errorf("spoilt: %d bytes of text where its head says %d", len(data)-baseHeaderSize, binary.LittleEndian.Uint32(data[16:]))
	case baseChecksum(data) != binary.LittleEndian.Uint32(data[20:]):
		return 0, nil, errors.New("spoilt: its sum is another")
	}
	return binary.LittleEndian.Uint64(data[8:]), data[baseHeaderSize:], nil
}

func baseChecksum(data []byte) uint32 {
	return crc32.Update(crc32.Checksum(data[8:20], castagnoli), castagnoli, data[baseHeaderSize:])
}

func appendBase(generation uint64, text []byte) []byte {
	b := append(make([]byte, 0, baseHeaderSize+len(text)), baseMagic...)
	b = binary.LittleEndian.AppendUint64(b, generation)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = append(append(b, 0, 0, 0, 0), text...)
	binary.LittleEndian.PutUint32(b[20:], baseChecksum(b))
	return b
}

// readRecords gives the records up to the first that is not whole, and where that begins. What lies behind it, whole or not, was not
// acknowledged, or else the others know that this disk is behind.
func readRecords(data []byte) (records [][]byte, intact int64) {
	for rest := data; len(rest) >= recordHeaderSize; {
		n := int(binary.LittleEndian.Uint32(rest))
		if n == 0 || n > maxRecordSize || n > len(rest)-recordHeaderSize || recordChecksum(rest[:recordHeaderSize+n]) != binary.LittleEndian.Uint32(rest[4:]) {
			break
		}
		records = append(records, bytes.Clone(rest[recordHeaderSize:recordHeaderSize+n]))
		rest, intact = rest[recordHeaderSize+n:], intact+int64(recordHeaderSize+n)
	}
	return records, intact
}

func recordChecksum(b []byte) uint32 {
	return crc32.Update(crc32.Checksum(b[:4], castagnoli), castagnoli, b[recordHeaderSize:])
}

func appendRecord(b, text []byte) []byte {
	at := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = append(append(b, 0, 0, 0, 0), text...)
	binary.LittleEndian.PutUint32(b[at+4:], recordChecksum(b[at:]))
	return b
}
