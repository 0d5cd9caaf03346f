package main

import (
	"os"
	"path/filepath"
	"time"

	"github.com/rotisserie/eris"

	"kitetiller/internal/lab/account"
	"kitetiller/platform"
)

// accountFlags are the arguments of "kitelab account".
type accountFlags struct {
	reports string
	against string
	log     string
	plot    string
	span    time.Duration
}

func defineAccount() command {
	flags := &accountFlags{span: 2 * time.Second}
	sub := newSubcommand("account", "what days lost, by cause, mechanism and moment, from reports or from the product's own logs")
	sub.String(&flags.reports, "r", "reports", "folder of reports (*.json), each with its log beside it (*.txt)")
	sub.String(&flags.against, "a", "against", "folder of reports of the same days by an earlier state, for pairs")
	sub.String(&flags.log, "l", "log", "log file of a process, or of several gathered; alone or beside reports")
	sub.String(&flags.plot, "p", "plot", "file for a plot of the lost requests over the day (.png or .svg)")
	sub.Duration(&flags.span, "", "span", "length of a moment")
	return command{sub, flags.run}
}

func (f *accountFlags) run() error {
	if f.reports == "" && f.log == "" {
		return eris.New("name --reports or --log")
	}
	if f.span <= 0 {
		return eris.New("--span must be above 0")
	}
	days, err := f.days()
	if err != nil {
		return err
	}
	account.Print(os.Stdout, days, f.span)
	if f.against != "" {
		before, err := reportsIn(f.against)
		if err != nil {
			return err
		}
		account.PrintComparisons(os.Stdout, account.CompareDays(before, days))
	}
	if f.plot == "" {
		return nil
	}
	return account.Plot(f.plot, days, f.span)
}

// days returns one day for each report, and one for the log file.
func (f *accountFlags) days() ([]account.Day, error) {
	var days []account.Day
	if f.reports != "" {
		found, err := reportsIn(f.reports)
		if err != nil {
			return nil, err
		}
		days = found
	}
	if f.log == "" {
		return days, nil
	}
	file, err := os.Open(f.log)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	defer file.Close()
	lines, err := account.ReadLines(file)
	return append(days, account.Day{Name: f.log, LogSummary: lines}), err
}

func reportsIn(folder string) ([]account.Day, error) {
	files, err := filepath.Glob(filepath.Join(folder, "*.json"))
	if err != nil || len(files) == 0 {
		return nil, eris.Errorf("no reports (*.json) in %s", folder)
	}
	var days []account.Day
	for _, file := range files {
		day, err := platform.LoadReport(file)
		if err != nil {
			return nil, err
		}
		days = append(days, day)
	}
	return days, nil
}
