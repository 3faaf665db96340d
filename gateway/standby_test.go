package gateway

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/galenaseam/galenaseam/call"
	"github.com/galenaseam/galenaseam/instance"
	"github.com/galenaseam/galenaseam/memory"
	"github.com/galenaseam/galenaseam/pace"
	"github.com/galenaseam/galenaseam/routing"
	"github.com/galenaseam/galenaseam/staging"
	"github.com/galenaseam/galenaseam/transport"
)

const testStreamEvents = 12

// streamRace is a race of a resumable stream's two upstreams, a and b, without a network. a was
// silent, and b replaces it.
type streamRace struct {
	*race
	w        *httptest.ResponseRecorder
	attempts map[byte]*upstreamAttempt
	next     map[byte]int // ID of the next event of each upstream
	over     bool
	cut      bool // the caller's connection was closed without the end of the stream
}

// newStreamRace returns a race of which the caller has the given number of events from a.
func newStreamRace(t *testing.T, delivered int) *streamRace {
	upstreams := instance.NewTable(nil)
	x := &exchange{
		Gateway: New(Config{
			Instances: upstreams, Metrics: NewMetrics(nil), Logger: slog.New(slog.DiscardHandler), ResponseTimes: pace.NewTable(),
			Memory: memory.New(0, 0, slog.New(slog.DiscardHandler), nil),
		}),
		r: httptest.NewRequest(http.MethodPost, "/", nil), ctx: t.Context(), deadline: time.Now().Add(time.Minute), version: "v", service: "s",
		request: &call.Request{ID: "r1", LastEvent: call.NoEvent}, random: rand.New(rand.NewPCG(1, 1)),
		route:  &routing.Route{Kind: routing.Stream, Resumable: true, MaxUpstreams: 2, Objective: time.Hour, EventGap: time.Hour},
		inputs: &staging.Results{},
	}
	x.table, _ = routing.NewTable(routing.Config{Services: []routing.Service{{Name: "s"}}})
	s := &streamRace{
		race:     &race{exchange: x, reports: make(chan report), done: make(chan struct{}), lastEventID: call.NoEvent},
		w:        httptest.NewRecorder(),
		attempts: make(map[byte]*upstreamAttempt), next: make(map[byte]int),
	}
	x.w = s.w
	x.answerRoom.Init(x.config.Memory, memory.Answer, func() {})
	for _, name := range []byte("ab") {
		id := instance.ID(name)
		upstreams.Put(instance.Entry{ID: id, Service: "s", Version: "v", Revision: 1})
		a := s.newAttempt(attemptPlan{lastEvent: s.lastEventID})
		a.begun, a.sentAt = true, time.Now()
		a.use, _ = upstreams.Begin(id, 0)
		a.chosen = instance.Status{Entry: instance.Entry{ID: id, Version: "v"}}
		a.monitor = a.newSilenceMonitor(a.chosen)
		a.monitor.probing.Store(true) // sends no probes
		a.monitor.start()
		s.attempts[name], s.running = a, append(s.running, a)
		if name == 'a' {
			s.play(strings.Repeat("a", delivered))
			s.inputs = &staging.Results{} // of the stages' second run, for b
			a.silences = 1
		}
		s.next['b'] = int(s.lastEventID) + 1
	}
	return s
}

// play plays what happens: a and b send the next event, A and B break off, 1 and 2 end their
// streams, < and > mean that they are silent, and + means that the serving one has continued for
// long enough. 0 ends b's stream too early. An upstream that was ended or is not read does nothing.
func (s *streamRace) play(script string) {
	defer func() {
		if cause := recover(); cause != nil {
			if cause != http.ErrAbortHandler { //nolint:errorlint // net/http's own comparison
				panic(cause)
			}
			s.over, s.cut = true, true
		}
	}()
	for _, action := range []byte(script) {
		if action == '+' {
			s.servingSince = s.servingSince.Add(-s.serving.monitor.idleTimeout)
			continue
		}
		name := "ab"[min(strings.IndexByte("aA1<bB2>0", action)/4, 1)]
		from := s.attempts[name]
		if s.over || !slices.Contains(s.running, from) || from.completed != nil {
			continue
		}
		what := report{from: from, answer: &call.Answer{Status: http.StatusOK, Header: http.Header{"Signer": {string(name)}}}}
		switch action {
		case 'a', 'b':
			if len(from.unconsumed) == cap(from.unconsumed) || s.next[name] == testStreamEvents {
				continue
			}
			from.unconsumed <- struct{}{}
			from.monitor.recordActivity()
			what.kind, what.event = eventArrived, event{id: int64(s.next[name]), raw: testEvent(s.next[name])}
			s.next[name]++
		case 'A', 'B':
			what.kind, what.result, what.outcome, what.label = attemptEnded, outcomeUnknown, instance.Broke, "broke_in_stream"
		case '0', '1', '2':
			if len(from.unconsumed) == cap(from.unconsumed) || action != '0' && s.next[name] < testStreamEvents {
				continue
			}
			what.kind = streamEnded
		default:
			what.kind, what.activity = upstreamSilent, from.monitor.activityCount()
		}
		if s.handle(what) {
			s.over = true
		}
	}
}

func testEvent(id int) []byte { return fmt.Appendf(nil, "id: %d\ndata: x\n\n", id) }

func testEvents(n int) string {
	var b strings.Builder
	for i := range n {
		b.Write(testEvent(i))
	}
	return b.String()
}

// outcomes returns how the attempts ended, in the order of their ends.
func (s *streamRace) outcomes() string {
	var all []string
	for _, r := range s.exchange.attempts {
		all = append(all, r.Upstream+" "+r.Outcome)
	}
	return strings.Join(all, ", ")
}

// Guards against streams that are cut although an upstream that was asked can go on with them,
// and against standbys that run on when they are no longer needed. The caller has three events
// from a when each script begins.
func TestStandbyTakesOver(t *testing.T) {
	rest := strings.Repeat("a", testStreamEvents)
	for name, c := range map[string]struct {
		script    string
		delivered int
		state     string // of the caller's stream; "" if it goes on
		outcomes  string
	}{
		"silent one resumes and breaks off":                               {script: "aaAbb", delivered: 5, outcomes: "a broke_in_stream"},
		"its replacement had events by then":                              {script: "abbA", delivered: 5, outcomes: "a broke_in_stream"},
		"replacement breaks off, silent one resumes":                      {script: "bbBaaa", delivered: 6, outcomes: "b broke_in_stream"},
		"silent one goes on for long":                                     {script: "aa+a", delivered: 6, outcomes: "b superseded"},
		"and breaks off later":                                            {script: "aa+aA", delivered: 6, state: "cut", outcomes: "b superseded, a broke_in_stream"},
		"replacement goes on for long":                                    {script: "bb+b", delivered: 6, outcomes: "a stalled"},
		"progress counts from the latest silence":                         {script: "a+<abA", delivered: 5, outcomes: "a broke_in_stream"},
		"silence of a standby is ignored":                                 {script: "aa>>>>a+a", delivered: 7, outcomes: "b superseded"},
		"both fall silent, the standby has events":                        {script: "abbb<", delivered: 6},
		"both fall silent, the first goes on":                             {script: "a<><a", delivered: 5},
		"both fall silent, the replacement goes on":                       {script: "a<><bbb", delivered: 6, outcomes: "a stalled"},
		"both fall silent twice, the one that loses broke":                {script: "a<>><>a", delivered: 5, outcomes: "b stalled"},
		"both break off":                                                  {script: "abbBA", delivered: 4, state: "cut", outcomes: "b broke_in_stream, a broke_in_stream"},
		"both break off, the serving one first":                           {script: "abbAB", delivered: 5, state: "cut", outcomes: "a broke_in_stream, b broke_in_stream"},
		"replacement ends first, the other goes on":                       {script: "aaaaaabbbbbbbbb2a", delivered: 10, outcomes: "b answered"},
		"replacement ends first, the other ends too":                      {script: "aaaaaabbbbbbbbb2" + rest + "1", delivered: testStreamEvents, state: "complete", outcomes: "b answered, a answered"},
		"replacement ends first, the other breaks off":                    {script: "aaaaaabbbbbbbbb2aA", delivered: testStreamEvents, state: "complete", outcomes: "b answered, a broke_in_stream"},
		"replacement ends first, the other falls silent":                  {script: "aaaaaabbbbbbbbb2a<", delivered: testStreamEvents, state: "complete", outcomes: "b answered, a stalled"},
		"replacement ends with what the caller has, the other never does": {script: rest + "bbbbbbbbb2A", delivered: testStreamEvents, state: "complete", outcomes: "b answered, a broke_in_stream"},
		"replacement ends without an event":                               {script: "a0a", delivered: 5, outcomes: "b broke_in_stream"},
		"replacement ends before what the caller has":                     {script: "aab0aA", delivered: 6, state: "cut", outcomes: "b broke_in_stream, a broke_in_stream"},
		"replacement has ended before the other's break":                  {script: "abb0aaA", delivered: 6, state: "cut", outcomes: "b answered, a broke_in_stream"},
		"replacement is alone and ends before what the caller has":        {script: "aabA0", delivered: 5, state: "cut", outcomes: "a broke_in_stream, b broke_in_stream"},
		"replacement is alone and ends without an event":                  {script: "aaA0", delivered: 5, state: "cut", outcomes: "a broke_in_stream, b broke_in_stream"},
		"a standby beside the whole stream":                               {script: "ab" + rest + "1", delivered: testStreamEvents, state: "complete", outcomes: "b superseded, a answered"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newStreamRace(t, 3)
			s.play(c.script)
			require.Equal(t, testEvents(c.delivered), s.w.Body.String())
			require.Equal(t, c.state, map[[2]bool]string{{true, false}: "complete", {true, true}: "cut"}[[2]bool{s.over, s.cut}])
			require.Equal(t, c.outcomes, s.outcomes())
			require.Equal(t, "a", s.w.Header().Get("Signer"), "headers are those of the stream's first upstream")
		})
	}
}

// Guards against events that are lost, doubled or out of order, streams that are cut while an
// attempt could go on, and standbys that are read without bound, whatever two upstreams do.
func TestCallerGetsEachEventOnceFromTwoUpstreams(t *testing.T) {
	const actions = "aaaaaaaabbbbbbbbaaaaaaaabbbbbbbbAB1122<>"
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 0))
		s := newStreamRace(t, random.IntN(4))
		for script := ""; !s.over && len(script) < 400; {
			action := actions[random.IntN(len(actions))]
			s.play(string(action))
			script += string(action)
			require.Equal(t, testEvents(s.events), s.w.Body.String(), "seed %d, %s", seed, script)
			for _, a := range s.running {
				require.LessOrEqual(t, len(a.buffered), maxBufferedEvents, "seed %d, %s", seed, script)
			}
			if s.cut && !strings.ContainsAny(script, "<>") {
				require.Equal(t, 2, strings.Count(s.outcomes(), "broke"), "cut while an attempt could go on: seed %d, %s", seed, script)
			}
		}
		if s.over && !s.cut {
			require.Equal(t, testStreamEvents, s.events, "seed %d", seed)
		}
	}
}

// Guards against a stream that waits for two silent upstreams although its route allows a third.
func TestSilentStandbyGivesWayToAnotherUpstream(t *testing.T) {
	for limit, outcomes := range map[int]string{2: "", 3: "a stalled"} {
		s := newStreamRace(t, 3)
		ended, cancel := context.WithCancel(t.Context())
		cancel()
		s.route.MaxUpstreams, s.ctx = limit, ended // so that the third one is not started
		s.play("bb>>")
		require.Equal(t, outcomes, s.outcomes())
	}
}

// Guards against results of stages that are freed while the upstream of a standby may still
// have to read them.
func TestStageResultsOutliveTheFirstEventOfAnotherAttempt(t *testing.T) {
	s := newStreamRace(t, 0)
	s.play("aa")
	require.NotNil(t, s.stageResults(), "b has not begun its answer")
	s.play("b")
	require.Nil(t, s.stageResults())

	s = newStreamRace(t, 3)
	s.play("aa")
	require.NotNil(t, s.stageResults(), "b uses the results of the stages' second run")
	s.play("+a")
	require.Nil(t, s.stageResults(), "b was ended")
}

// Guards against a repeated event that a caller gets because it was buffered twice.
func TestRepeatedEventOfStandbyIsDropped(t *testing.T) {
	s := newStreamRace(t, 3)
	s.play("a") // event 3
	for _, id := range []int{4, 5, 4, 5} {
		s.next['b'] = id
		s.play("b")
	}
	s.play("A")
	require.Equal(t, testEvents(6), s.w.Body.String())
}

// Guards against results of stages that are held to the end of a long stream because the standby
// that they were kept for failed before its first event, or was not started.
func TestStageResultsAreFreedWhenNoAttemptNeedsThem(t *testing.T) {
	for name, b := range map[string]report{
		"breaks off":  {kind: attemptEnded, result: outcomeUnknown, outcome: instance.Broke, label: "broke"},
		"error":       {kind: answerArrived, answer: &call.Answer{Status: http.StatusInternalServerError}},
		"not started": {kind: notStarted, problem: "retry_budget"},
	} {
		s := newStreamRace(t, 3)
		if b.kind != notStarted {
			s.play("a")
		}
		b.from = s.attempts['b']
		require.False(t, s.handle(b), name)
		if b.kind == notStarted {
			require.NotNil(t, s.stageResults(), "another replacement may use them")
			s.play("a")
		}
		require.Nil(t, s.stageResults(), name)
	}
}

// Guards against a standby that sends events again, which the caller has, and is ended as silent.
func TestStandbyThatCatchesUpIsNotEndedAsSilent(t *testing.T) {
	s := newStreamRace(t, 3)
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	s.route.MaxUpstreams, s.ctx = 3, ended // so that the third one is not started
	s.play("bbba>>")
	require.Empty(t, s.outcomes())
	s.play("<aaa")
	require.Equal(t, "b stalled", s.outcomes())
	require.Equal(t, testEvents(7), s.w.Body.String())
}

// Guards against memory of an incomplete event that is held while another attempt continues
// the stream.
func TestMemoryOfAnIncompleteEventIsFreed(t *testing.T) {
	s := newStreamRace(t, 3)
	body := io.MultiReader(strings.NewReader("id: 3\ndata: "+strings.Repeat("x", 4*memory.SmallBytes)), iotest.ErrReader(io.ErrUnexpectedEOF))
	go s.attempts['b'].readEvents(&call.Answer{Status: http.StatusOK, Body: body}, &transport.Answer{})
	require.Equal(t, "broke_in_stream", (<-s.reports).label)
	require.Zero(t, s.answerRoom.Bytes())
}

// Guards against events that are held back, and an attempt that is ended, in favour of another
// one that has only sent comments after a silence.
func TestCommentsHoldBackNoEventsOfAnotherAttempt(t *testing.T) {
	for _, names := range []string{"ab", "ba"} {
		for _, delivered := range []int{0, 3} {
			s := newStreamRace(t, delivered)
			sender := s.attempts[names[1]]
			for range 2 {
				sender.unconsumed <- struct{}{}
				sender.monitor.recordActivity()
				answer := &call.Answer{Status: http.StatusOK, Header: http.Header{}}
				require.False(t, s.handle(report{from: sender, kind: eventArrived, answer: answer, event: event{id: call.NoEvent, raw: []byte(": wait\n\n")}}))
				s.servingSince = time.Now().Add(-time.Hour)
			}
			s.play(strings.Repeat(names[:1], 6))
			before, after := testEvents(delivered), testEvents(delivered+6)
			require.Equal(t, before+": wait\n\n: wait\n\n"+after[len(before):], s.w.Body.String(), names)
			require.Empty(t, s.outcomes(), names)
			require.Same(t, s.attempts[names[0]], s.serving, names)
		}
	}
}

// endlessEvents is the body of a stream that never ends.
type endlessEvents struct{ sent int }

func (e *endlessEvents) Read(p []byte) (int, error) {
	n := copy(p, testEvent(e.sent))
	e.sent++
	return n, nil
}

// Guards against a host that reads, and holds, all that the upstream of a standby sends.
func TestStandbyIsReadNoFurtherThanItsBuffer(t *testing.T) {
	s := newStreamRace(t, 3)
	s.play("a")
	body, b := &endlessEvents{sent: 4}, s.attempts['b']
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		b.readEvents(&call.Answer{Status: http.StatusOK, Body: body}, &transport.Answer{})
	}()
	for range maxBufferedEvents {
		s.handle(<-s.reports)
	}
	select {
	case <-s.reports:
		require.Fail(t, "read too far")
	case <-time.After(30 * time.Millisecond):
	}
	require.Equal(t, 4+maxBufferedEvents, body.sent)
	s.play("a")
	s.handle(<-s.reports) // there is room for another event
	s.play("+a")
	require.Equal(t, attemptEnded, (<-s.reports).kind, "an attempt that was ended does not wait to be read")
	<-ended
}
