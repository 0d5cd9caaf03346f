// Package storage keeps records on disk: an append-only log of checksummed segments that a checkpoint can
// replace, and small files that are replaced atomically.
//
// A record is durable once Sync has returned. Open truncates an incomplete record that a crash left at the
// end of the newest segment, and removes files that an interrupted checkpoint left. On any other corruption it fails
// without changing files, since durable data is lost.
package storage

import (
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"iter"
	"os"
	"path/filepath"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/rotisserie/eris"
	"golang.org/x/sync/errgroup"
)

// Versions of the format of a segment's records. The storage format is the same in all; the callers' records differ. Open
// rejects segments of a version above LatestFormat.
const (
	FirstFormat  = 1
	LatestFormat = 2
)

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
	bufferBytes       = 64 << 10 // of a segment that is read or written
	maxKeptBuffer     = 1 << 20  // capacity up to which the buffer of pending records is kept
)

// Errors that callers match with errors.Is.
var (
	ErrDamaged     = eris.New("data folder is damaged")
	ErrForeign     = eris.New("data folder belongs to another program or replica")
	ErrNewerFormat = eris.New("data folder was written by a newer version")
	// ErrNotReplaced is returned by Checkpoint if the new segment can't be written, for example for lack of space. The log
	// is unchanged and may be used further.
	ErrNotReplaced = eris.New("checkpoint not written; the log is unchanged")
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
	files    FileSystem
	folder   string
	owner    string
	file     File
	sequence uint64 // of the newest segment; 0 if there is none
	size     int64
	format   int // of the newest segment; 0 if there is none
	pending  []byte
	beside   []newFile     // see CreateBeside
	unsynced []string      // folders to sync before the first segment lasts
	openSync time.Duration // see OpenSyncTime
}

// Open opens the log of an owner in a folder, which may be empty or missing, and returns the records from the last checkpoint on.
func Open(folder, owner string) (*Log, []Record, error) {
	var records []Record
	log, err := OpenOn(OperatingSystem, folder, owner, func(record Record) error {
		records = append(records, record)
		return nil
	})
	return log, records, err
}

// OpenOn opens the log of an owner in a folder of the given file system. It passes the records from the last checkpoint on to
// visit, one at a time, and fails if visit does. If there is no log, the first Create, Sync or Checkpoint creates the folder and the
// first segment.
func OpenOn(files FileSystem, folder, owner string, visit func(Record) error) (*Log, error) {
	log := &Log{files: files, folder: folder, owner: owner}
	sequences, err := log.listSegments()
	if err != nil {
		return nil, err
	}
	if len(sequences) == 0 {
		return log, nil
	}
	first, err := log.lastCheckpoint(sequences)
	if err != nil {
		return nil, err
	}
	for i, sequence := range sequences[first:] {
		newest := first+i == len(sequences)-1
		length, err := log.readSegment(sequence, newest, visit)
		if err != nil {
			return nil, err
		}
		log.sequence, log.size = sequence, length
	}
	if err := log.reopenNewest(); err != nil {
		return nil, err
	}
	for _, sequence := range sequences[:first] {
		_ = files.Remove(log.segmentPath(sequence)) // a later start removes what stays
	}
	return log, nil
}

// Owner returns the owner of the log in a folder, as its newest segment names it. It returns false if there is no segment.
func Owner(files FileSystem, folder string) (owner string, found bool, err error) {
	log := &Log{files: files, folder: folder}
	sequences, err := log.listSegments()
	if err != nil || len(sequences) == 0 {
		return "", false, err
	}
	path := log.segmentPath(sequences[len(sequences)-1])
	file, err := files.Open(path, os.O_RDONLY)
	if err != nil {
		return "", false, eris.Wrapf(err, "open %s", path)
	}
	defer file.Close()
	var decoded header
	_, _, err = readRecords(file, func(record Record) error {
		decoded, err = decodeHeader(path, record)
		return cmp.Or(err, errStop)
	})
	switch {
	case err == nil:
		return "", false, eris.Wrapf(ErrDamaged, "%s has no valid segment header", path)
	case err != errStop:
		return "", false, eris.Wrapf(err, "read %s", path)
	}
	return decoded.Owner, true, nil
}

// decodeHeader decodes the first record of a segment.
func decodeHeader(path string, record Record) (header, error) {
	var decoded header
	if record.Kind != KindHeader {
		return decoded, eris.Wrapf(ErrDamaged, "%s has no valid segment header", path)
	}
	if err := json.Unmarshal(record.Data, &decoded); err != nil || decoded.Magic != magic {
		return decoded, eris.Wrapf(ErrForeign, "%s was not written by this program", path)
	}
	return decoded, nil
}

// lastCheckpoint returns the position of the newest segment that replaces the earlier ones. Checkpoint creates all segments
// after the first, so that any of these with records starts with a checkpoint.
func (l *Log) lastCheckpoint(sequences []uint64) (int, error) {
	for i := len(sequences) - 1; i > 0; i-- {
		hasRecords, err := l.hasRecords(sequences[i])
		if err != nil {
			return 0, err
		}
		if hasRecords {
			return i, nil
		}
	}
	return 0, nil
}

// hasRecords reports whether a segment has a valid record after its header.
func (l *Log) hasRecords(sequence uint64) (bool, error) {
	path := l.segmentPath(sequence)
	file, err := l.files.Open(path, os.O_RDONLY)
	if err != nil {
		return false, eris.Wrapf(err, "open %s", path)
	}
	defer file.Close()
	count := 0
	_, _, err = readRecords(file, func(Record) error {
		if count++; count > 1 {
			return errStop
		}
		return nil
	})
	if err == errStop {
		return true, nil
	}
	return false, eris.Wrapf(err, "read %s", path)
}

// errStop ends the reading of a segment early.
var errStop = eris.New("enough records read")

// listSegments returns the sequence numbers of the segments in ascending order. It removes temporary files.
func (l *Log) listSegments() ([]uint64, error) {
	names, err := l.files.ReadDir(l.folder)
	if errors.Is(err, fs.ErrNotExist) {
		return nil, nil
	}
	if err != nil {
		return nil, eris.Wrapf(err, "read %s", l.folder)
	}
	var sequences []uint64
	for _, name := range names {
		if strings.HasSuffix(name, temporarySuffix) {
			_ = l.files.Remove(filepath.Join(l.folder, name)) // it takes space, but does no other harm
			continue
		}
		var sequence uint64
		if _, err := fmt.Sscanf(name, "%016d"+segmentSuffix, &sequence); err != nil {
			return nil, eris.Wrapf(ErrForeign, "%s holds the unknown file %s; move it away or choose another folder", l.folder, name)
		}
		sequences = append(sequences, sequence)
	}
	sort.Slice(sequences, func(i, j int) bool { return sequences[i] < sequences[j] })
	return sequences, nil
}

func (l *Log) segmentPath(sequence uint64) string {
	return filepath.Join(l.folder, fmt.Sprintf("%016d%s", sequence, segmentSuffix))
}

// readSegment passes the records after the header to visit and returns the length of the valid data in bytes.
func (l *Log) readSegment(sequence uint64, newest bool, visit func(Record) error) (int64, error) {
	path := l.segmentPath(sequence)
	file, err := l.files.Open(path, os.O_RDONLY)
	if err != nil {
		return 0, eris.Wrapf(err, "open %s", path)
	}
	defer file.Close()
	headerRead := false
	length, tail, err := readRecords(file, func(record Record) error {
		if headerRead {
			return visit(record)
		}
		headerRead = true
		return l.checkHeader(path, record)
	})
	if err != nil {
		return 0, eris.Wrapf(err, "read %s", path)
	}
	if !headerRead {
		return 0, eris.Wrapf(ErrDamaged, "%s has no valid segment header", path)
	}
	if tail != TailClean && (!newest || tail == TailCorrupt) {
		return 0, eris.Wrapf(ErrDamaged,
			"%s: record at byte %d fails its checksum and is not the last one; restore the folder from a backup or wipe it to rejoin as a new replica", path, length)
	}
	return length, nil
}

func (l *Log) checkHeader(path string, first Record) error {
	decoded, err := decodeHeader(path, first)
	if err != nil {
		return err
	}
	if decoded.Format > LatestFormat {
		return eris.Wrapf(ErrNewerFormat, "%s has format %d, this program reads up to %d; start the newer program", path, decoded.Format, LatestFormat)
	}
	l.format = decoded.Format
	if decoded.Owner != l.owner {
		return eris.Wrapf(ErrForeign, "%s belongs to %q, not to %q", path, decoded.Owner, l.owner)
	}
	return nil
}

// openNewest opens the newest segment for appending. It writes nothing if the segment has no incomplete record, so that a log
// can be opened on a full disk.
func (l *Log) openNewest() (File, error) {
	path := l.segmentPath(l.sequence)
	file, err := l.files.Open(path, os.O_RDWR)
	if err != nil {
		return nil, eris.Wrapf(err, "open %s", path)
	}
	if err := truncateTail(file, l.size); err != nil {
		_ = file.Close()
		return nil, eris.Wrapf(err, "prepare %s", path)
	}
	return file, nil
}

// reopenNewest opens the newest segment that a process left, and syncs it. It syncs the names of the log as well: the process
// that created them may have been killed before it did.
func (l *Log) reopenNewest() error {
	file, err := l.openNewest()
	if err != nil {
		return err
	}
	var syncing errgroup.Group
	syncing.Go(func() error { return l.syncNames() })
	started := time.Now()
	err = eris.Wrapf(file.Sync(), "sync %s", l.segmentPath(l.sequence))
	l.openSync = time.Since(started)
	if folderErr := syncing.Wait(); err == nil {
		err = folderErr
	}
	if err != nil {
		_ = file.Close()
		return err
	}
	l.file = file
	return nil
}

// syncNames syncs all folders that hold names of the log, in parallel: its own, that of the data folder around it, and the
// given ones. A process that was killed, or whose sync failed, may have created any of them. The folder that holds the data folder may be
// closed to this program or not support syncs; where a process creates the data folder, it is among the given ones and has to be synced.
func (l *Log) syncNames(created ...string) error {
	data := filepath.Dir(l.folder)
	var syncing errgroup.Group
	syncing.Go(func() error { return syncFolders(l.files, slices.Concat(created, []string{l.folder, data})...) })
	if above := filepath.Dir(data); !slices.Contains(created, above) {
		syncing.Go(func() error {
			_ = l.files.SyncDir(above)
			return nil
		})
	}
	return syncing.Wait()
}

// truncateTail truncates what follows the valid records and moves to their end. The caller syncs them: a process that
// ended may have written them without a sync.
func truncateTail(file File, size int64) error {
	end, err := file.Seek(0, io.SeekEnd)
	if err == nil && end > size {
		err = file.Truncate(size)
	}
	if err == nil {
		_, err = file.Seek(size, io.SeekStart)
	}
	return err
}

// OpenSyncTime returns how long the sync took with which the newest segment was opened, or those of the folders when the first
// one was created. It is 0 before.
func (l *Log) OpenSyncTime() time.Duration { return l.openSync }

// IsEmpty reports whether the log has no segment yet, so that nothing in it is durable.
func (l *Log) IsEmpty() bool { return l.sequence == 0 }

// Create makes a log durable that has no segment yet. It has no effect on others.
func (l *Log) Create() error {
	if !l.IsEmpty() {
		return nil
	}
	return l.writeSegment(1, FirstFormat, func(func(Record) bool) {})
}

// CreateBeside makes the first Create, Sync or Checkpoint of an empty log write another file as well, beside the first segment, so that
// both take no more syncs in a row than one. Both are durable when it has returned; after a crash before, either may be there.
func (l *Log) CreateBeside(path string, value any) error {
	file, err := jsonFile(path, value)
	l.beside = append(l.beside, file)
	return err
}

// Append adds a record to the buffer that the next Sync writes.
func (l *Log) Append(record Record) {
	l.pending = AppendRecord(l.pending, record)
}

// Sync writes and syncs the buffered records. After an error the content on disk is unknown: the log must be closed and
// opened again.
func (l *Log) Sync() error {
	if len(l.pending) == 0 {
		return nil
	}
	if l.IsEmpty() {
		records, _, _ := DecodeRecords(l.pending)
		l.clearPending()
		return l.writeSegment(1, FirstFormat, slices.Values(records))
	}
	written, err := l.file.Write(l.pending)
	if err != nil {
		return eris.Wrapf(err, "append to %s", l.segmentPath(l.sequence))
	}
	l.size += int64(written)
	l.clearPending()
	return eris.Wrapf(l.file.Sync(), "sync %s", l.segmentPath(l.sequence))
}

func (l *Log) clearPending() {
	l.pending = l.pending[:0]
	if cap(l.pending) > maxKeptBuffer {
		l.pending = nil
	}
}

// Checkpoint starts a new segment of a format with the given records, which replace all earlier ones, and deletes the
// older segments once the new one is durable. Until then both take space. It waits for two syncs in a row, of the segment and of
// the folder. The deletions are not synced: Open passes over older segments, whichever of them a loss of power brings back.
func (l *Log) Checkpoint(format int, records iter.Seq[Record]) error {
	if err := l.Sync(); err != nil {
		return err
	}
	previous, oldFile := l.sequence, l.file
	if err := l.writeSegment(previous+1, format, records); err != nil {
		return err
	}
	if previous == 0 {
		return nil
	}
	if err := oldFile.Close(); err != nil {
		return eris.Wrap(err, "close previous segment")
	}
	for sequence := previous; sequence > 0; sequence-- {
		if err := l.files.Remove(l.segmentPath(sequence)); err != nil {
			break // the older ones are already deleted, or are when the log is opened again
		}
	}
	return nil
}

// writeSegment writes a segment and opens it for appending. It fails with ErrNotReplaced if nothing has changed.
func (l *Log) writeSegment(sequence uint64, format int, records iter.Seq[Record]) error {
	size := int64(0)
	segment := newFile{l.segmentPath(sequence), func(w io.Writer) (err error) {
		size, err = writeSegmentRecords(w, header{Magic: magic, Format: format, Owner: l.owner, Sequence: sequence}, records)
		return err
	}}
	created := []newFile{segment}
	if l.IsEmpty() {
		created = append(slices.Clone(l.beside), segment)
	}
	unsynced, err := putFiles(l.files, created...)
	if err != nil {
		return eris.Wrapf(ErrNotReplaced, "%v", err)
	}
	if !l.IsEmpty() {
		err = syncFolders(l.files, unsynced...)
	} else {
		l.unsynced = append(l.unsynced, unsynced...) // an attempt that failed may have created folders
		started := time.Now()
		err = l.syncNames(l.unsynced...)
		l.openSync = time.Since(started)
	}
	if err != nil {
		return err
	}
	l.sequence, l.size, l.format = sequence, size, format
	file, err := l.openNewest()
	if err == nil {
		l.file = file
	}
	return err
}

// writeSegmentRecords writes the content of a segment and returns its size.
func writeSegmentRecords(w io.Writer, head header, records iter.Seq[Record]) (size int64, err error) {
	encodedHeader, err := json.Marshal(head)
	if err != nil {
		return 0, eris.Wrap(err, "encode segment header")
	}
	size, err = writeRecord(w, Record{Kind: KindHeader, Data: encodedHeader})
	for record := range records {
		if err != nil {
			break
		}
		var written int64
		written, err = writeRecord(w, record)
		size += written
	}
	return size, err
}

// Format returns the format of the newest segment.
func (l *Log) Format() int { return l.format }

// Size returns the size of the newest segment in bytes.
func (l *Log) Size() int64 { return l.size }

// Close closes the log and discards buffered records. Closing it again has no effect.
func (l *Log) Close() error {
	if l.file == nil {
		return nil
	}
	file := l.file
	l.file = nil
	return eris.Wrap(file.Close(), "close log")
}
