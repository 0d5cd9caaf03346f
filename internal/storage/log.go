// Package storage keeps records on disk: an append-only log of checksummed segments that a checkpoint can
// replace, and small files that are replaced atomically.
//
// A record is durable once Sync has returned. Open truncates an incomplete record that a crash left at the
// end of the newest segment. On any other corruption it fails without changing files, since durable data
// is lost.
package storage

import (
	"encoding/binary"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"sort"
	"strings"

	"github.com/rotisserie/eris"
)

// FormatVersion is the version of the segment format that this code writes. Open rejects segments of a newer version.
const FormatVersion = 1

// Kind is the type of a record. All values except KindHeader are defined by the caller.
type Kind uint8

// KindHeader marks the first record of each segment.
const KindHeader Kind = 255

const (
	frameHeaderBytes  = 9 // length (4), checksum (4), kind (1)
	maxRecordBytes    = 256 << 20
	segmentSuffix     = ".log"
	temporarySuffix   = ".tmp"
	folderPermissions = 0o755
	filePermissions   = 0o644
)

// Errors that callers match with errors.Is.
var (
	ErrDamaged     = eris.New("data folder is damaged")
	ErrForeign     = eris.New("data folder belongs to another program or replica")
	ErrNewerFormat = eris.New("data folder was written by a newer version")
)

// Record is one entry of the log.
type Record struct {
	Kind Kind
	Data []byte
}

// header is the content of the first record of each segment.
type header struct {
	Magic    string `json:"magic"`
	Format   int    `json:"format"`
	Owner    string `json:"owner"`
	Sequence uint64 `json:"sequence"`
}

const magic = "kitetiller-log"

// Log is an open log. It is not safe for concurrent use.
type Log struct {
	folder   string
	owner    string
	file     *os.File
	sequence uint64
	size     int64
	pending  []byte
}

var checksumTable = crc32.MakeTable(crc32.Castagnoli)

// Open opens or creates the log of an owner in a folder and returns the records from the last checkpoint on.
func Open(folder, owner string) (*Log, []Record, error) {
	if err := os.MkdirAll(folder, folderPermissions); err != nil {
		return nil, nil, eris.Wrapf(err, "create %s", folder)
	}
	sequences, err := listSegments(folder)
	if err != nil {
		return nil, nil, err
	}
	log := &Log{folder: folder, owner: owner}
	if len(sequences) == 0 {
		return log, nil, log.createFirstSegment()
	}
	var records []Record
	for i, sequence := range sequences {
		newest := i == len(sequences)-1
		segment, length, err := log.readSegment(sequence, newest)
		if err != nil {
			return nil, nil, err
		}
		if i > 0 && startsWithCheckpoint(segment) {
			records = nil
		}
		records = append(records, segment...)
		log.sequence, log.size = sequence, length
	}
	return log, records, log.reopenNewest()
}

// startsWithCheckpoint reports whether a segment after the first replaces the earlier ones. Checkpoint creates all of
// these, so that any with records starts with a checkpoint.
func startsWithCheckpoint(segment []Record) bool { return len(segment) > 0 }

func listSegments(folder string) ([]uint64, error) {
	entries, err := os.ReadDir(folder)
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", folder)
	}
	var sequences []uint64
	for _, entry := range entries {
		name := entry.Name()
		if strings.HasSuffix(name, temporarySuffix) {
			continue
		}
		var sequence uint64
		if _, err := fmt.Sscanf(name, "%016d"+segmentSuffix, &sequence); err != nil {
			return nil, eris.Wrapf(ErrForeign, "%s holds the unknown file %s; move it away or choose another folder", folder, name)
		}
		sequences = append(sequences, sequence)
	}
	sort.Slice(sequences, func(i, j int) bool { return sequences[i] < sequences[j] })
	return sequences, nil
}

func (l *Log) segmentPath(sequence uint64) string {
	return filepath.Join(l.folder, fmt.Sprintf("%016d%s", sequence, segmentSuffix))
}

func (l *Log) createFirstSegment() error {
	l.sequence = 1
	return l.writeSegment(nil)
}

// readSegment returns the records after the header and the length of the valid data in bytes.
func (l *Log) readSegment(sequence uint64, newest bool) ([]Record, int64, error) {
	path := l.segmentPath(sequence)
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, 0, eris.Wrapf(err, "read %s", path)
	}
	records, length, tail := DecodeRecords(data)
	if len(records) == 0 || records[0].Kind != KindHeader {
		return nil, 0, eris.Wrapf(ErrDamaged, "%s has no valid segment header", path)
	}
	if err := l.checkHeader(path, records[0].Data); err != nil {
		return nil, 0, err
	}
	if tail != TailClean && (!newest || tail == TailCorrupt) {
		return nil, 0, eris.Wrapf(ErrDamaged,
			"%s: record at byte %d fails its checksum and is not the last one; restore the folder from a backup or wipe it to rejoin as a new replica", path, length)
	}
	return records[1:], length, nil
}

func (l *Log) checkHeader(path string, data []byte) error {
	var decoded header
	if err := json.Unmarshal(data, &decoded); err != nil || decoded.Magic != magic {
		return eris.Wrapf(ErrForeign, "%s was not written by this program", path)
	}
	if decoded.Format > FormatVersion {
		return eris.Wrapf(ErrNewerFormat, "%s has format %d, this program reads up to %d; start the newer program", path, decoded.Format, FormatVersion)
	}
	if decoded.Owner != l.owner {
		return eris.Wrapf(ErrForeign, "%s belongs to %q, not to %q", path, decoded.Owner, l.owner)
	}
	return nil
}

func (l *Log) reopenNewest() error {
	path := l.segmentPath(l.sequence)
	file, err := os.OpenFile(path, os.O_RDWR, filePermissions)
	if err != nil {
		return eris.Wrapf(err, "open %s", path)
	}
	if err := file.Truncate(l.size); err != nil {
		return eris.Wrapf(err, "truncate the incomplete record at the end of %s", path)
	}
	if _, err := file.Seek(l.size, 0); err != nil {
		return eris.Wrapf(err, "seek in %s", path)
	}
	l.file = file
	return eris.Wrapf(file.Sync(), "sync %s", path)
}

// Append adds a record to the buffer that the next Sync writes.
func (l *Log) Append(record Record) {
	l.pending = AppendRecord(l.pending, record)
}

// Sync writes and syncs the buffered records. After an error the content on disk is unknown and the log must
// not be used any more.
func (l *Log) Sync() error {
	if len(l.pending) == 0 {
		return nil
	}
	written, err := l.file.Write(l.pending)
	if err != nil {
		return eris.Wrapf(err, "append to %s", l.file.Name())
	}
	l.size += int64(written)
	l.pending = l.pending[:0]
	return eris.Wrapf(l.file.Sync(), "sync %s", l.file.Name())
}

// Checkpoint starts a new segment with the given records, which replace all earlier ones, and deletes the
// older segments once the new one is durable.
func (l *Log) Checkpoint(records []Record) error {
	if err := l.Sync(); err != nil {
		return err
	}
	previous := l.sequence
	oldFile := l.file
	l.sequence++
	if err := l.writeSegment(records); err != nil {
		return err
	}
	if err := oldFile.Close(); err != nil {
		return eris.Wrap(err, "close previous segment")
	}
	for sequence := previous; sequence > 0; sequence-- {
		if err := os.Remove(l.segmentPath(sequence)); err != nil {
			break // the older ones are already deleted
		}
	}
	return syncFolder(l.folder)
}

func (l *Log) writeSegment(records []Record) error {
	encodedHeader, err := json.Marshal(header{Magic: magic, Format: FormatVersion, Owner: l.owner, Sequence: l.sequence})
	if err != nil {
		return eris.Wrap(err, "encode segment header")
	}
	data := AppendRecord(nil, Record{Kind: KindHeader, Data: encodedHeader})
	for _, record := range records {
		data = AppendRecord(data, record)
	}
	path := l.segmentPath(l.sequence)
	if err := ReplaceFile(path, data); err != nil {
		return err
	}
	l.size = int64(len(data))
	return l.reopenNewest()
}

// Size returns the size of the newest segment in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log and discards buffered records.
func (l *Log) Close() error { return eris.Wrap(l.file.Close(), "close log") }

// AppendRecord appends the encoding of a record to a buffer.
func AppendRecord(buffer []byte, record Record) []byte {
	var frame [frameHeaderBytes]byte
	binary.LittleEndian.PutUint32(frame[0:], uint32(len(record.Data)))
	frame[8] = byte(record.Kind)
	sum := crc32.Update(0, checksumTable, frame[0:4])
	sum = crc32.Update(sum, checksumTable, frame[8:])
	sum = crc32.Update(sum, checksumTable, record.Data)
	binary.LittleEndian.PutUint32(frame[4:], sum)
	buffer = append(buffer, frame[:]...)
	return append(buffer, record.Data...)
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

func decodeRecord(data []byte) (Record, int, bool) {
	if len(data) < frameHeaderBytes {
		return Record{}, 0, false
	}
	length := int(binary.LittleEndian.Uint32(data[0:]))
	if length > maxRecordBytes || frameHeaderBytes+length > len(data) {
		return Record{}, 0, false
	}
	body := data[frameHeaderBytes : frameHeaderBytes+length]
	sum := crc32.Update(0, checksumTable, data[0:4])
	sum = crc32.Update(sum, checksumTable, data[8:9])
	sum = crc32.Update(sum, checksumTable, body)
	if sum != binary.LittleEndian.Uint32(data[4:]) {
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
