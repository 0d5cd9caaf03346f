package storage

import (
	"bufio"
	"encoding/binary"
	"hash/crc32"
	"io"
)

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// frameHeader returns the encoding of a record's header.
func frameHeader(record Record) [frameHeaderBytes]byte {
	var frame [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(record.Data)))
	frame[8] = byte(record.Kind)
	binary.LittleEndian.PutUint32(frame[4:], frameChecksum(frame[:], record.Data))
	return frame
}

// frameChecksum returns the checksum of a record's length, kind and data.
func frameChecksum(frame, data []byte) uint32 {
	sum := crc32.Update(0, checksumTable, frame[0:4])
	sum = crc32.Update(sum, checksumTable, frame[8:9])
	return crc32.Update(sum, checksumTable, data)
}

// AppendRecord appends the encoding of a record to a buffer.
func AppendRecord(buffer []byte, record Record) []byte {
	frame := frameHeader(record)
	buffer = append(buffer, frame[:]...)
	return append(buffer, record.Data...)
}

// writeRecord writes the encoding of a record and returns its length.
func writeRecord(w io.Writer, record Record) (int64, error) {
	frame := frameHeader(record)
	if _, err := w.Write(frame[:]); err != nil {
		return 0, err
	}
	_, err := w.Write(record.Data)
	return int64(frameHeaderBytes + len(record.Data)), err
}

// TailState is the kind of data that follows the last valid record.
type TailState uint8

// Tail states returned by DecodeRecords.
const (
	TailClean     TailState = iota
	TailTruncated           // an incomplete last record, as a crash can leave it
	TailCorrupt             // an invalid record that is followed by a valid one
)

// DecodeRecords decodes records up to the first invalid one. It returns them, their length in bytes and the state of
// the rest.
func DecodeRecords(data []byte) (records []Record, length int64, tail TailState) {
	offset := 0
	for offset < len(data) {
		record, size, ok := decodeRecord(data[offset:])
		if !ok {
			return records, int64(offset), classifyTail(data[offset:])
		}
		records = append(records, record)
		offset += size
	}
	return records, int64(offset), TailClean
}

// readRecords passes the records of a file up to the first invalid one to visit, one at a time. It returns their length in
// bytes and the state of the rest.
func readRecords(file File, visit func(Record) error) (length int64, tail TailState, err error) {
	end, err := file.Seek(0, io.SeekEnd)
	if err == nil {
		_, err = file.Seek(0, io.SeekStart)
	}
	if err != nil {
		return 0, TailClean, err
	}
	r := bufio.NewReaderSize(file, bufferBytes)
	for length < end {
		record, size, ok, err := readRecord(r, end-length)
		if err != nil {
			return 0, TailClean, err
		}
		if !ok {
			tail, err := readTail(file, length)
			return length, tail, err
		}
		if err := visit(record); err != nil {
			return 0, TailClean, err
		}
		length += size
	}
	return length, TailClean, nil
}

// readRecord reads a record of which at most the given number of bytes remain. It returns false if it is invalid.
func readRecord(r io.Reader, remaining int64) (Record, int64, bool, error) {
	if remaining < frameHeaderBytes {
		return Record{}, 0, false, nil
	}
	var frame [frameHeaderBytes]byte
	if _, err := io.ReadFull(r, frame[:]); err != nil {
		return Record{}, 0, false, err
	}
	length := int64(binary.LittleEndian.Uint32(frame[0:]))
	if length > maxRecordBytes || frameHeaderBytes+length > remaining {
		return Record{}, 0, false, nil
	}
	data := make([]byte, length)
	if _, err := io.ReadFull(r, data); err != nil {
		return Record{}, 0, false, err
	}
	if frameChecksum(frame[:], data) != binary.LittleEndian.Uint32(frame[4:]) {
		return Record{}, 0, false, nil
	}
	return Record{Kind: Kind(frame[8]), Data: data}, frameHeaderBytes + length, true, nil
}

// readTail returns the state of the data from an offset on.
func readTail(file File, offset int64) (TailState, error) {
	if _, err := file.Seek(offset, io.SeekStart); err != nil {
		return TailClean, err
	}
	rest, err := io.ReadAll(file)
	return classifyTail(rest), err
}

func decodeRecord(data []byte) (Record, int, bool) {
	if len(data) < frameHeaderBytes {
		return Record{}, 0, false
	}
	length := int(binary.LittleEndian.Uint32(data[0:]))
	if length > maxRecordBytes || frameHeaderBytes+length > len(data) {
		return Record{}, 0, false
	}
	body := data[frameHeaderBytes : frameHeaderBytes+length]
	if frameChecksum(data, body) != binary.LittleEndian.Uint32(data[4:]) {
		return Record{}, 0, false
	}
	return Record{Kind: Kind(data[8]), Data: append([]byte(nil), body...)}, frameHeaderBytes + length, true
}

// classifyTail distinguishes an incomplete last record from corruption. A valid, non-empty record at any later
// offset means that the invalid one had been written completely.
func classifyTail(tail []byte) TailState {
	for start := 1; start+frameHeaderBytes < len(tail); start++ {
		record, _, ok := decodeRecord(tail[start:])
		if ok && len(record.Data) > 0 {
			return TailCorrupt
		}
	}
	return TailTruncated
}
