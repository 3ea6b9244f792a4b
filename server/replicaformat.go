package server

import (
	"bytes"
	"encoding/binary"
	"errors"
	"fmt"
	"hash/crc32"
)

// A base is a header and a text: magic, generation, length and CRC-32C of generation, length and text. A record of the log is
// a header and a text: length and CRC-32C of length and text. Integers are little-endian.
const (
	baseMagic            = "TPSEAT1\n"
	baseGenerationOffset = 8
	baseLengthOffset     = 16
	baseChecksumOffset   = 20
	baseHeaderSize       = 24
	recordChecksumOffset = 4
	recordHeaderSize     = 8
	maxRecordSize        = 64 << 20 // bytes of text
)

var castagnoli = crc32.MakeTable(crc32.Castagnoli)

// readBase decodes a base: the generation of its log, and its text.
func readBase(data []byte) (generation uint64, text []byte, err error) {
	if len(data) < baseHeaderSize || !bytes.HasPrefix(data, []byte(baseMagic)) {
		return 0, nil, errors.New("no base of a seat, or one of a build that is not known here")
	}
	text = data[baseHeaderSize:]
	length := binary.LittleEndian.Uint32(data[baseLengthOffset:])
	if int(length) != len(text) {
		return 0, nil, fmt.Errorf("spoilt: %d bytes of text where its head says %d", len(text), length)
	}
	if baseChecksum(data) != binary.LittleEndian.Uint32(data[baseChecksumOffset:]) {
		return 0, nil, errors.New("spoilt: its sum is another")
	}
	return binary.LittleEndian.Uint64(data[baseGenerationOffset:]), text, nil
}

func baseChecksum(data []byte) uint32 {
	header := crc32.Checksum(data[baseGenerationOffset:baseChecksumOffset], castagnoli)
	return crc32.Update(header, castagnoli, data[baseHeaderSize:])
}

// appendBase encodes a base.
func appendBase(generation uint64, text []byte) []byte {
	b := append(make([]byte, 0, baseHeaderSize+len(text)), baseMagic...)
	b = binary.LittleEndian.AppendUint64(b, generation)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = append(b, 0, 0, 0, 0)
	b = append(b, text...)
	binary.LittleEndian.PutUint32(b[baseChecksumOffset:], baseChecksum(b))
	return b
}

// readRecords decodes the records before the first that is torn or corrupt, and gives the length of what they take. Whatever
// follows was not acknowledged, or else the other replicas know that this disk is behind.
func readRecords(data []byte) (records [][]byte, intact int64) {
	rest := data
	for {
		text, ok := firstRecord(rest)
		if !ok {
			return records, intact
		}
		size := recordHeaderSize + len(text)
		records = append(records, bytes.Clone(text))
		rest = rest[size:]
		intact += int64(size)
	}
}

// firstRecord is the text of the record that data begins with, if that is intact.
func firstRecord(data []byte) (text []byte, ok bool) {
	if len(data) < recordHeaderSize {
		return nil, false
	}
	length := int(binary.LittleEndian.Uint32(data))
	if length == 0 || length > maxRecordSize || length > len(data)-recordHeaderSize {
		return nil, false
	}
	record := data[:recordHeaderSize+length]
	if recordChecksum(record) != binary.LittleEndian.Uint32(record[recordChecksumOffset:]) {
		return nil, false
	}
	return record[recordHeaderSize:], true
}

func recordChecksum(record []byte) uint32 {
	header := crc32.Checksum(record[:recordChecksumOffset], castagnoli)
	return crc32.Update(header, castagnoli, record[recordHeaderSize:])
}

// appendRecord encodes a record.
func appendRecord(b, text []byte) []byte {
	start := len(b)
	b = binary.LittleEndian.AppendUint32(b, uint32(len(text)))
	b = append(b, 0, 0, 0, 0)
	b = append(b, text...)
	binary.LittleEndian.PutUint32(b[start+recordChecksumOffset:], recordChecksum(b[start:]))
	return b
}

// appendRecords encodes records in a row.
func appendRecords(b []byte, texts [][]byte) []byte {
	for _, text := range texts {
		b = appendRecord(b, text)
	}
	return b
}
