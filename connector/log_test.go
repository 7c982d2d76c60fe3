package connector_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jonboulle/clockwork"
	"github.com/pkg/errors"
	"pgregory.net/rapid"

	"github.com/gooseberrypass/gooseberrypass"
	"github.com/gooseberrypass/gooseberrypass/connector"
	"github.com/gooseberrypass/gooseberrypass/emulator"
)

const stream gooseberrypass.Stream = "a/b"

func TestAppendUnderFaults(t *testing.T) {
	for name, test := range map[string]struct {
		faults  emulator.Faults
		rate    float64
		applied bool
		want    error
	}{
		"answer lost":  {faults: emulator.Faults{AnswersLost: 1}, applied: true, want: gooseberrypass.ErrLogUnavailable},
		"down":         {faults: emulator.Faults{Down: true}, want: gooseberrypass.ErrLogUnavailable},
		"none":         {applied: true},
		"over rate":    {rate: 1, want: gooseberrypass.ErrLogOverloaded},
		"request lost": {faults: emulator.Faults{RequestsLost: 1}, want: gooseberrypass.ErrLogUnavailable},
	} {
		t.Run(name, func(t *testing.T) {
			service := emulator.NewLog(clockwork.NewFakeClock(), emulator.LogSettings{AppendRate: test.rate})
			log := connector.NewLog(newClient(t), serve(t, service))
			if offset, err := log.Append(t.Context(), stream, []byte("first")); err != nil || offset != 1 {
				t.Fatalf("got offset %d, error %v, want 1", offset, err)
			}
			service.SetFaults(test.faults)
			_, got := log.Append(t.Context(), stream, []byte("second"))
			if !errors.Is(got, test.want) {
				t.Errorf("got error %v, want %v", got, test.want)
			}
			service.SetFaults(emulator.Faults{})
			batch, err := log.Read(t.Context(), stream, 1, 0)
			if err != nil {
				t.Fatal(err)
			}
			if got := len(batch.Records) == 2; got != test.applied {
				t.Errorf("record applied: got %v, want %v", got, test.applied)
			}
		})
	}
}

func TestAppendOfTooMuchIsRefused(t *testing.T) {
	log := connector.NewLog(newClient(t), refusedURL(t))
	_, err := log.Append(t.Context(), stream, make([]byte, connector.MaxRecordSize+1))
	if err == nil || errors.Is(err, gooseberrypass.ErrLogUnavailable) {
		t.Errorf("got %v, want an error other than ErrLogUnavailable", err)
	}
}

func TestReadWaits(t *testing.T) {
	clock := clockwork.NewFakeClock()
	service := emulator.NewLog(clock, emulator.LogSettings{})
	log := connector.NewLog(newClient(t), serve(t, service))
	type result struct {
		batch gooseberrypass.Batch
		err   error
	}
	read := func() chan result {
		results := make(chan result, 1)
		go func() {
			batch, err := log.Read(t.Context(), stream, 1, 5*time.Second)
			results <- result{batch, err}
		}()
		if err := clock.BlockUntilContext(t.Context(), 1); err != nil {
			t.Fatal(err)
		}
		return results
	}
	results := read()
	clock.Advance(5 * time.Second)
	if got := <-results; got.err != nil || len(got.batch.Records) != 0 || got.batch.Next != 1 {
		t.Errorf("got %+v after the wait, want no records and next offset 1", got)
	}
	results = read()
	if _, err := log.Append(t.Context(), stream, []byte("body")); err != nil {
		t.Fatal(err)
	}
	got := <-results
	if got.err != nil || len(got.batch.Records) != 1 || string(got.batch.Records[0].Body) != "body" {
		t.Errorf("got %+v, want the record appended during the wait", got)
	}
}

func TestReadEndsWithContext(t *testing.T) {
	log := connector.NewLog(newClient(t), serve(t, emulator.NewLog(clockwork.NewFakeClock(), emulator.LogSettings{})))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	_, err := log.Read(ctx, stream, 1, time.Hour)
	if !errors.Is(err, context.Canceled) || !errors.Is(err, gooseberrypass.ErrLogUnavailable) {
		t.Errorf("got %v, want context.Canceled and ErrLogUnavailable", err)
	}
}

// TestLogMatchesNaive compares the log with a model that keeps every record and
// computes from these what is trimmed.
func TestLogMatchesNaive(t *testing.T) {
	client := newClient(t)
	rapid.Check(t, func(rt *rapid.T) {
		clock := clockwork.NewFakeClock()
		settings := emulator.LogSettings{MaxAge: time.Minute, MaxRecords: rapid.IntRange(1, 5).Draw(rt, "records")}
		server, err := emulator.Serve("127.0.0.1:0", emulator.NewLog(clock, settings))
		if err != nil {
			rt.Fatal(err)
		}
		defer func() { _ = server.Close() }()
		log := connector.NewLog(client, server.URL())
		var naive []gooseberrypass.Record
		rt.Repeat(map[string]func(*rapid.T){
			"append": func(rt *rapid.T) {
				record := gooseberrypass.Record{Offset: gooseberrypass.Offset(len(naive) + 1), Time: clock.Now().Round(0).UTC()}
				record.Body = rapid.SliceOfN(rapid.Byte(), 0, 8).Draw(rt, "body")
				got, err := log.Append(t.Context(), stream, record.Body)
				if err != nil || got != record.Offset {
					rt.Fatalf("got offset %d, error %v, want %d", got, err, record.Offset)
				}
				naive = append(naive, record)
			},
			"wait": func(rt *rapid.T) {
				clock.Advance(time.Duration(rapid.IntRange(1, 40).Draw(rt, "seconds")) * time.Second)
			},
			"read": func(rt *rapid.T) {
				from := rapid.IntRange(1, len(naive)+1).Draw(rt, "from")
				first := max(0, len(naive)-settings.MaxRecords)
				for first < len(naive) && clock.Since(naive[first].Time) > settings.MaxAge {
					first++
				}
				want := fmt.Sprint(naive[from-1:])
				if from-1 < first {
					want = fmt.Sprintf("log trimmed: first record kept is %d", first+1)
				}
				batch, err := log.Read(t.Context(), stream, gooseberrypass.Offset(from), 0)
				got := fmt.Sprint(batch.Records)
				if err != nil {
					got = err.Error()
				}
				if got != want {
					rt.Fatalf("got %s, want %s", got, want)
				}
			},
		})
	})
}

func FuzzDecodeBatch(f *testing.F) {
	f.Add([]byte(`{"first":1,"next":3,"records":[{"offset":2,"time":"2025-01-02T03:04:05Z","body":"eA=="}]}`), uint64(2))
	f.Add([]byte(`{"first":1,"next":2,"records":[{"offset":7}]}`), uint64(0))
	f.Fuzz(func(t *testing.T, body []byte, from uint64) {
		batch, err := connector.DecodeBatch(body, gooseberrypass.Offset(from))
		if err != nil {
			return
		}
		for i, r := range batch.Records {
			if want := gooseberrypass.Offset(max(from, 1)) + gooseberrypass.Offset(i); r.Offset != want || r.Offset >= batch.Next {
				t.Errorf("got record %d with next offset %d, want record %d", r.Offset, batch.Next, want)
			}
		}
	})
}
