package cmd

import (
	"net/url"

	"github.com/google/uuid"
	"github.com/juju/errors"
	"github.com/spf13/cobra"

	"sardinelock.dev/sardinelock/internal/administrator"
)

func newUpstreamCommand() *cobra.Command {
	c := &cobra.Command{
		Use:   "upstream",
		Short: "Show and change upstreams",
		Args:  cobra.NoArgs,
	}
	c.AddCommand(
		newUpstreamListCommand(),
		newUpstreamDrainCommand(),
		newUpstreamUndrainCommand(),
		newUpstreamEjectCommand(),
		newUpstreamRestoreCommand(),
	)
	return c
}

// upstreamChange is a command that changes upstreams, which are given by name or by
// rack and data centre.
type upstreamChange struct {
	change           changeFlags
	dataCentre, rack string
	action           string
}

// command adds the flags and the implementation to c.
func (u *upstreamChange) command(c *cobra.Command) *cobra.Command {
	c.RunE = func(c *cobra.Command, args []string) error { return u.run(c, args) }
	f := c.Flags()
	u.change.register(f)
	f.StringVar(&u.rack, "rack", "", "change all upstreams of a rack")
	f.StringVar(&u.dataCentre, "data-centre", "", "change all upstreams of a data centre, or with --rack those of one rack in it")
	return c
}

func (u *upstreamChange) run(c *cobra.Command, peers []string) error {
	client, err := u.change.client()
	if err != nil {
		return err
	}
	if (len(peers) == 0) == (u.rack == "" && u.dataCentre == "") {
		return usageErrors([]string{"give either names of upstreams or --rack and --data-centre"})
	}
	if len(peers) == 0 {
		if peers, err = u.find(c, client); err != nil {
			return err
		}
	}
	return u.changeAll(c, client, peers)
}

// changeAll changes the upstreams one after the other and prints the results. It
// stops at the first failure. With several upstreams, each change has an id of its own
// that is derived from the given id, so that a retry is idempotent.
func (u *upstreamChange) changeAll(c *cobra.Command, client *administrator.Client, peers []string) error {
	base, err := uuid.Parse(u.change.id())
	if err != nil {
		return usageErrors([]string{"--change-id must be a UUID"})
	}
	var made []administrator.Changed
	for _, peer := range peers {
		id := u.change.changeID
		if len(peers) > 1 {
			id = uuid.NewSHA1(base, []byte(peer)).String()
		}
		one, err := client.Change(c.Context(), "/v1/admin/upstreams/"+url.PathEscape(peer)+"/"+u.action, id)
		if err != nil {
			return u.reportFailure(c, made, peer, err)
		}
		made = append(made, one)
	}
	return u.change.print(c, made)
}

// reportFailure prints the changes that were made before one failed, and returns the
// error of the failed one with the change id for a retry.
func (u *upstreamChange) reportFailure(c *cobra.Command, made []administrator.Changed, peer string, cause error) error {
	if len(made) > 0 {
		if err := u.change.print(c, made); err != nil {
			return err
		}
	}
	return errors.Annotatef(cause, "%s (retry with --change-id %s)", peer, u.change.changeID)
}

// find returns the upstreams of the rack and the data centre.
func (u *upstreamChange) find(c *cobra.Command, client *administrator.Client) ([]string, error) {
	var l administrator.Listing[administrator.Upstream]
	if err := client.Get(c.Context(), "/v1/admin/upstreams", &l); err != nil {
		return nil, err
	}
	printSilent(c.ErrOrStderr(), l.Silent)
	var peers []string
	for _, up := range l.Items {
		if (u.rack == "" || up.Rack == u.rack) && (u.dataCentre == "" || up.DataCentre == u.dataCentre) {
			peers = append(peers, string(up.Peer))
		}
	}
	if len(peers) == 0 {
		return nil, errors.New("no upstream is in that place")
	}
	return peers, nil
}
