package daemon

import (
	"context"
	"errors"
	"fmt"

	"github.com/spf13/cobra"
	"go.uber.org/fx"

	"github.com/cowslipward/cowslipward/internal/commandline"
	"github.com/cowslipward/cowslipward/keys"
	"github.com/cowslipward/cowslipward/settings"
)

// Program describes a daemon for its command line.
type Program struct {
	Name  string
	Short string
	// Load reads the settings file. It returns the common settings and a function that returns the daemon's
	// fx options.
	Load func(file string) (*settings.Common, func(*keys.Store) fx.Option, error)
}

// Main runs the program. On an error it exits with status 2 for invalid settings, keys or usage, and 1 otherwise.
func (p Program) Main() {
	command := &cobra.Command{Use: p.Name + " --settings FILE", Short: p.Short}
	commandline.AddSettingsFlags(command, "", p.run)
	commandline.Execute(command)
}

// run validates the settings and keys, starts the daemon and waits for a signal or a fatal error. With check
// set it only validates.
func (p Program) run(file string, check bool) error {
	common, wire, err := p.Load(file)
	if err != nil {
		return fmt.Errorf("%w:\n%w", commandline.ErrSettings, err)
	}
	store, err := keys.Open(common.Keys.Dir)
	if err != nil {
		return fmt.Errorf("%w: keys.dir: %w", commandline.ErrSettings, err)
	}
	if check {
		fmt.Println("settings and keys are valid")
		return nil
	}
	return runApp(fx.New(wire(store)))
}

func runApp(app *fx.App) error {
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), app.StartTimeout())
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	signal := <-app.Wait()
	stopCtx, stopCancel := context.WithTimeout(context.Background(), app.StopTimeout())
	defer stopCancel()
	if err := app.Stop(stopCtx); err != nil {
		return err
	}
	if signal.ExitCode != 0 {
		return errors.New("stopped because of a fatal error, see the log")
	}
	return nil
}
