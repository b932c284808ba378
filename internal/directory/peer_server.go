package directory

import (
	"context"
	"encoding/json"
	"io"
	"net/http"

	"github.com/cockroachdb/errors"
	"github.com/klauspost/compress/gzhttp"
	"github.com/klauspost/compress/gzip"

	"github.com/martenstage/martenstage/internal/quarantine"
	"github.com/martenstage/martenstage/internal/routing"
)

// compressMinBytes is the size from which updates for routers are compressed: these are
// complete tables of servers and routers, which hundreds of routers fetch at once.
const compressMinBytes = 2 << 10

// compressed compresses a handler's long replies if the caller accepts that.
func compressed(handler http.Handler) http.Handler {
	wrap, err := gzhttp.NewWrapper(gzhttp.MinSize(compressMinBytes), gzhttp.CompressionLevel(gzip.BestSpeed))
	if err != nil {
		panic(errors.Wrap(err, "invalid compression options"))
	}
	return wrap(handler)
}

// PeerHandler serves the calls of other nodes and of routers.
func (n *Node) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathDeliver, n.serveDeliver)
	mux.Handle(pathJoin, handle(func(_ context.Context, request joinRequest) (joinReply, error) { return n.handleJoin(request) }))
	mux.Handle(pathShare, handle(func(_ context.Context, message shareMessage) (struct{}, error) {
		n.mergeShare(message)
		return struct{}{}, nil
	}))
	mux.Handle(pathRegistry, handle(func(_ context.Context, known tablePosition) (tableReply, error) {
		return n.tableSince(known), nil
	}))
	mux.Handle(pathPut, handle(func(ctx context.Context, message putMessage) (struct{}, error) {
		return struct{}{}, n.putAsLeader(ctx, message)
	}))
	mux.Handle(pathDepart, handle(func(ctx context.Context, message departMessage) (struct{}, error) {
		return struct{}{}, n.departAsLeader(ctx, message)
	}))
	mux.Handle(pathKnownIncarnations, handle(func(_ context.Context, request incarnationsRequest) (incarnationsReply, error) {
		return n.knownIncarnations(request), nil
	}))
	mux.Handle(pathEvacuate, handle(func(ctx context.Context, order evacuationOrder) (struct{}, error) {
		return struct{}{}, n.evacuateAsLeader(ctx, order)
	}))
	mux.Handle(pathEvacuations, handle(func(context.Context, struct{}) (EvacuationList, error) { return n.Evacuations(), nil }))
	mux.Handle(pathQuarantineLeader, handle(n.quarantineAsLeader))
	mux.Handle(PathQuarantine, handle(n.Quarantine))
	mux.Handle(pathQuarantineList, handle(func(context.Context, struct{}) (quarantine.Ledger, error) { return n.QuarantineList(), nil }))
	mux.Handle(pathConfirm, handle(func(ctx context.Context, _ struct{}) (confirmReply, error) { return n.confirmAsLeader(ctx) }))
	mux.Handle(pathQuotaLeader, handle(n.quotaAsLeader))
	mux.Handle(PathQuota, handle(n.Quota))
	mux.Handle(pathMetered, handle(func(_ context.Context, metered MeteredTenants) (struct{}, error) {
		n.applyMetered(metered)
		return struct{}{}, nil
	}))
	mux.Handle(pathTenantsLeader, handle(n.tenantsAsLeader))
	mux.Handle(pathTenants, handle(func(ctx context.Context, _ struct{}) (TenantList, error) { return n.Tenants(ctx) }))
	mux.Handle(pathLoad, handle(n.summaryAsLeader))
	mux.Handle(pathLoadView, handle(func(_ context.Context, published publishedView) (struct{}, error) {
		n.acceptView(published)
		return struct{}{}, nil
	}))
	mux.Handle(pathLoadLeader, handle(n.loadAsLeader))
	mux.Handle(pathLoadList, handle(func(ctx context.Context, _ struct{}) (LoadList, error) { return n.Load(ctx) }))
	mux.Handle(pathRolloutStart, handle(n.startRolloutAsLeader))
	mux.Handle(pathRolloutRead, handle(n.confirmedRollouts))
	mux.Handle(pathRolloutReport, handle(n.reportRolloutsAsLeader))
	mux.Handle(PathRollouts, handle(n.ReportRollouts))
	mux.Handle(pathRolloutList, handle(func(ctx context.Context, _ struct{}) (RolloutList, error) { return n.rolloutsFromLeader(ctx) }))
	mux.Handle(pathRead, handle(func(ctx context.Context, _ struct{}) (readReply, error) { return n.readAsLeader(ctx) }))
	mux.Handle(PathSuspect, handle(func(_ context.Context, report SuspectReport) (struct{}, error) {
		n.suspectRouters(report)
		return struct{}{}, nil
	}))
	mux.HandleFunc(PathTable, n.serveTable)
	mux.Handle(PathFollow, compressed(handle(n.followCounted)))
	return n.rejectOtherGroups(mux)
}

func (n *Node) serveDeliver(writer http.ResponseWriter, request *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(writer, request.Body, maxFramedMessage))
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	messages, err := unframe(body)
	if err != nil {
		http.Error(writer, err.Error(), http.StatusBadRequest)
		return
	}
	n.member.voter().Deliver(messages)
}

// handle serves one call with JSON in and out.
func handle[Request, Reply any](serve func(context.Context, Request) (Reply, error)) http.Handler {
	return http.HandlerFunc(func(writer http.ResponseWriter, request *http.Request) {
		var decoded Request
		body, err := requestBody(writer, request)
		if err == nil {
			err = json.NewDecoder(body).Decode(&decoded)
		}
		if err != nil {
			http.Error(writer, err.Error(), http.StatusBadRequest)
			return
		}
		ctx, cancel := context.WithTimeout(request.Context(), 2*maxFollowWait)
		defer cancel()
		reply, err := serve(ctx, decoded)
		if err != nil {
			http.Error(writer, errorDetail(err), statusOf(err))
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(reply)
	})
}

// encodingGzip marks a compressed message.
const encodingGzip = "gzip"

// requestBody returns the message of a call, of bounded length.
func requestBody(writer http.ResponseWriter, request *http.Request) (io.Reader, error) {
	body := http.MaxBytesReader(writer, request.Body, maxPeerReplyBytes)
	if request.Header.Get("Content-Encoding") != encodingGzip {
		return body, nil
	}
	plain, err := gzip.NewReader(body)
	if err != nil {
		return nil, err
	}
	return io.LimitReader(plain, maxPeerReplyBytes), nil
}

func statusOf(err error) int {
	var invalid *routing.InvalidError
	if errors.As(err, &invalid) {
		return http.StatusUnprocessableEntity
	}
	return http.StatusServiceUnavailable
}

// errorDetail returns the text from which the caller rebuilds the error.
func errorDetail(err error) string {
	var invalid *routing.InvalidError
	if errors.As(err, &invalid) {
		return invalid.Detail
	}
	return err.Error()
}
