package control

import (
	"encoding/json"
	"fmt"
	"testing"

	"kitetiller/internal/catalog"
	"kitetiller/internal/consensus"
	"kitetiller/internal/level"
	"kitetiller/internal/payload"
	"kitetiller/internal/storage"
)

// BenchmarkChangeBytes reports what a change of a document costs in bytes: on the disk of a replica, in a message to
// another, in a reply to a gateway and in the log in memory, without compression of entries (level 1) and with it. The time
// is that of proposing and applying it.
func BenchmarkChangeBytes(b *testing.B) {
	for _, routes := range []int{350, 1400, 5000} {
		document := largeDocument(7, routes)
		command := Command{UnixMS: testWallStart, Catalog: &catalog.Command{Replace: document}}
		for _, inForce := range []level.Level{level.Announced, level.Compressed} {
			b.Run(fmt.Sprintf("routes=%d/level=%d", routes, inForce), func(b *testing.B) {
				var data []byte
				for b.Loop() {
					data = encodeCommand(inForce, command)
					decodeCommand(data)
				}
				entry := consensus.Entry{Index: 7, Term: 2, Data: data}
				b.ReportMetric(float64(len(storage.AppendRecord(nil, encodeRecord(recordEntry, entry)))), "disk-B")
				b.ReportMetric(float64(len(replicaMessage(b, entry))), "replica-B")
				b.ReportMetric(float64(len(gatewayReply(b, document))), "gateway-B")
				b.ReportMetric(float64(entry.Size()), "memory-B")
			})
		}
	}
}

// replicaMessage returns the body of a message with the entry to another replica.
func replicaMessage(b *testing.B, entry consensus.Entry) []byte {
	b.Helper()
	body, err := json.Marshal(raftBatch{Messages: []consensus.Message{{Kind: consensus.MessageAppend, Entries: []consensus.Entry{entry}}}})
	if err != nil {
		b.Fatal(err)
	}
	compressed, _ := payload.Compress(body)
	return compressed
}

// gatewayReply returns the body of a reply with the document to a gateway.
func gatewayReply(b *testing.B, document *catalog.Document) []byte {
	b.Helper()
	replica := &Replica{}
	reply := &WatchReply{Revision: document.Revision}
	reply.Document, reply.sharedDocument = replica.publishedDocument(document)
	parts, err := Response{Kind: ResponseOK, Watch: reply}.Parts()
	if err != nil {
		b.Fatal(err)
	}
	body, _ := payload.Assemble(parts, true)
	return body
}
