package control

import (
	"context"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"

	v1 "github.com/martenstage/martenstage/internal/gen/martenstage/v1"
	"github.com/martenstage/martenstage/internal/httpdrain"
	"github.com/martenstage/martenstage/internal/plan"
	"github.com/martenstage/martenstage/internal/statuspage"
)

// confirmedTimeout is how long the status page waits for the confirmed leader
// before it falls back to this voter's local view.
const confirmedTimeout = 2 * time.Second

// pagesStopLimit is how long requests for pages may go on during a stop.
const pagesStopLimit = 300 * time.Millisecond

// pageSource provides the data of a voter's status page.
type pageSource struct{ server *Server }

// StatusSource returns the data source of the voter's status page.
func (s *Server) StatusSource() statuspage.Source { return pageSource{s} }

// Status implements statuspage.Source.
func (p pageSource) Status(ctx context.Context) (*v1.StatusResponse, error) {
	confirmedCtx, cancel := context.WithTimeout(ctx, confirmedTimeout)
	defer cancel()
	response, err := configService(p).Status(confirmedCtx, connect.NewRequest(&v1.StatusRequest{}))
	if err != nil {
		response, err = configService(p).Status(ctx, connect.NewRequest(&v1.StatusRequest{Local: true}))
	}
	if err != nil {
		return nil, err
	}
	return response.Msg, nil
}

// Plan implements statuspage.Source.
func (p pageSource) Plan() *plan.Plan {
	_, latest, _ := p.server.store.Latest()
	return latest
}

// Events implements statuspage.Source.
func (p pageSource) Events(ctx context.Context, service string, limit uint32) ([]*v1.Event, error) {
	ctx, cancel := context.WithTimeout(ctx, confirmedTimeout)
	defer cancel()
	response, err := journalService(p).List(ctx, connect.NewRequest(&v1.ListEventsRequest{Service: service, Limit: limit}))
	if err != nil {
		return nil, err
	}
	return response.Msg.GetEvents(), nil
}

// servePages serves plain HTTP to browsers and metrics collectors until the
// context ends.
func (p *Process) servePages(ctx context.Context, listener net.Listener, handler http.Handler) {
	server := httpdrain.NewServer(httpdrain.Config{Handler: handler, ReadHeaderTimeout: time.Second})
	if err := server.ServeUntil(ctx, listener, pagesStopLimit); err != nil {
		p.logger.WithError(err).WithField("address", listener.Addr()).Warn("pages_not_served")
	}
}
