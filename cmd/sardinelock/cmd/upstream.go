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
		Short: "Look at upstreams and change them",
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

// upstreamChange is a command that changes upstreams, named or by rack.
type upstreamChange struct {
	change           changeFlags
	dataCentre, rack string
	action           string
}

// command completes a command whose texts are set.
func (u *upstreamChange) command(c *cobra.Command) *cobra.Command {
	c.RunE = func(c *cobra.Command, args []string) error { return u.run(c, args) }
	f := c.Flags()
	u.change.register(f)
	f.StringVar(&u.rack, "rack", "", "change all upstreams of a rack")
	f.StringVar(&u.dataCentre, "data-centre", "", "change all upstreams of a data centre, or of its rack with --rack")
	return c
}

func (u *upstreamChange) run(c *cobra.Command, peers []string) error {
	client, err := u.change.client()
	if err != nil {
		return err
	}
	if (len(peers) == 0) == (u.rack == "" && u.dataCentre == "") {
		return usageFaults([]string{"give either names of upstreams or --rack and --data-centre"})
	}
	if len(peers) == 0 {
		if peers, err = u.find(c, client); err != nil {
			return err
		}
	}
	return u.changeAll(c, client, peers)
}

// changeAll changes one upstream after the other and prints what was made, also
// if one fails.
func (u *upstreamChange) changeAll(c *cobra.Command, client *administrator.Client, peers []string) error {
	base, err := uuid.Parse(u.change.id())
	if err != nil {
		return usageFaults([]string{"--change-id must be a UUID"})
	}
	var made []administrator.Changed
	for _, peer := range peers {
		id := u.change.changeID
		if len(peers) > 1 {
			id = uuid.NewSHA1(base, []byte(peer)).String()
		}
		one, err := client.Change(c.Context(), "/v1/admin/upstreams/"+url.PathEscape(peer)+"/"+u.action, id)
		if err != nil {
			return u.stopped(c, made, peer, err)
		}
		made = append(made, one)
	}
	return u.change.print(c, made)
}

// stopped prints the changes that were made before one failed, and returns its
// error with the way to go on.
func (u *upstreamChange) stopped(c *cobra.Command, made []administrator.Changed, peer string, cause error) error {
	if len(made) > 0 {
		if err := u.change.print(c, made); err != nil {
			return err
		}
	}
	return errors.Annotatef(cause, "%s (repeat with --change-id %s)", peer, u.change.changeID)
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
