package cmd

import "github.com/juju/errors"

// Parse checks a command line as Main does, without running the command.
func Parse(args []string) error {
	_, chosen, err := parse(args, nil)
	if err != nil {
		return err
	}
	switch c := chosen.(type) {
	case nil:
		return errors.New("no command")
	case *reportCmd:
		return c.check()
	case *checkCmd:
		if problem := c.usageProblem(); problem != "" {
			return errors.New(problem)
		}
	}
	return nil
}
