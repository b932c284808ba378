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

// compressFrom is from how many bytes on news for routers travel compressed: the whole
// tables of servers and routers, which hundreds of routers ask for at once.
const compressFrom = 2 << 10

// compressed lets a handler's long replies be compressed, if the caller takes that.
func compressed(handler http.Handler) http.Handler {
	wrap, err := gzhttp.NewWrapper(gzhttp.MinSize(compressFrom), gzhttp.CompressionLevel(gzip.BestSpeed))
	if err != nil {
		panic(errors.Wrap(err, "the options of compression are constants"))
	}
	return wrap(handler)
}

// PeerHandler serves the calls of other nodes and of routers.
func (n *Node) PeerHandler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc(pathDeliver, n.serveDeliver)
	mux.Handle(pathJoin, handle(func(_ context.Context, request joinRequest) (joinReply, error) { return n.joined(request) }))
	mux.Handle(pathShare, handle(func(_ context.Context, message shareMessage) (struct{}, error) {
		n.takeIn(message)
		return struct{}{}, nil
	}))
	mux.Handle(pathRegistry, handle(func(_ context.Context, known tablePosition) (tableReply, error) {
		return n.table(known), nil
	}))
	mux.Handle(pathPut, handle(func(ctx context.Context, message putMessage) (struct{}, error) {
		return struct{}{}, n.putHere(ctx, message)
	}))
	mux.Handle(pathDepart, handle(func(ctx context.Context, message departMessage) (struct{}, error) {
		return struct{}{}, n.departHere(ctx, message)
	}))
	mux.Handle(pathHeard, handle(func(_ context.Context, asked heardRequest) (heardReply, error) { return n.heard(asked), nil }))
	mux.Handle(pathEvacuate, handle(func(ctx context.Context, order evacuationOrder) (struct{}, error) {
		return struct{}{}, n.evacuateHere(ctx, order)
	}))
	mux.Handle(pathEvacuations, handle(func(context.Context, struct{}) (EvacuationList, error) { return n.Evacuations(), nil }))
	mux.Handle(pathQuarantineLeader, handle(n.quarantineHere))
	mux.Handle(PathQuarantine, handle(n.Quarantine))
	mux.Handle(pathQuarantineList, handle(func(context.Context, struct{}) (quarantine.Book, error) { return n.QuarantineList(), nil }))
	mux.Handle(pathConfirm, handle(func(ctx context.Context, _ struct{}) (confirmReply, error) { return n.confirmHere(ctx) }))
	mux.Handle(pathQuotaLeader, handle(n.quotaHere))
	mux.Handle(PathQuota, handle(n.Quota))
	mux.Handle(pathMetered, handle(func(_ context.Context, told Metered) (struct{}, error) {
		n.takeMetered(told)
		return struct{}{}, nil
	}))
	mux.Handle(pathTenantsLeader, handle(n.tenantsHere))
	mux.Handle(pathTenants, handle(func(ctx context.Context, _ struct{}) (TenantList, error) { return n.Tenants(ctx) }))
	mux.Handle(pathRolloutStart, handle(n.startHere))
	mux.Handle(pathRolloutRead, handle(n.rolloutsConfirmed))
	mux.Handle(pathRolloutReport, handle(n.reportHere))
	mux.Handle(PathRollouts, handle(n.ReportRollouts))
	mux.Handle(pathRolloutList, handle(func(ctx context.Context, _ struct{}) (RolloutList, error) { return n.rolloutsAtLeader(ctx) }))
	mux.Handle(pathRead, handle(func(ctx context.Context, _ struct{}) (readReply, error) { return n.readHere(ctx) }))
	mux.Handle(PathDoubt, handle(func(_ context.Context, told Doubt) (struct{}, error) {
		n.doubtRouters(told)
		return struct{}{}, nil
	}))
	mux.Handle(PathFollow, compressed(handle(n.Follow)))
	return n.refuseOthers(mux)
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
		body, err := bodyOf(writer, request)
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
			http.Error(writer, detail(err), statusOf(err))
			return
		}
		writer.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(writer).Encode(reply)
	})
}

// encodingGzip marks a compressed message.
const encodingGzip = "gzip"

// bodyOf returns the message of a call, of bounded length.
func bodyOf(writer http.ResponseWriter, request *http.Request) (io.Reader, error) {
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

// detail returns what the other side builds the error from again.
func detail(err error) string {
	var invalid *routing.InvalidError
	if errors.As(err, &invalid) {
		return invalid.Detail
	}
	return err.Error()
}
