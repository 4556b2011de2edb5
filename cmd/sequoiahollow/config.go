package main

import (
	"errors"

	"sequoiahollow/state/shconfig"
)

// checkCommand checks a folder without any other process.
type checkCommand struct {
	Dir string `arg:"" help:"Configuration folder."`
}

// checkReport is the JSON form of the result of a check.
type checkReport struct {
	Valid    bool              `json:"valid"`
	Files    []string          `json:"files"`
	Problems shconfig.Problems `json:"problems"`
	Notices  []string          `json:"notices"`
}

// Run implements the command.
func (c *checkCommand) Run(e *environment) error {
	folder, err := shconfig.Load(c.Dir)
	problems, faulty := errors.AsType[shconfig.Problems](err)
	if err != nil && !faulty {
		return &exitError{code: exitUsage, err: err}
	}
	report := checkReport{Valid: !faulty, Files: folder.Files, Problems: problems, Notices: folder.Notices}
	printed := e.print(report, func() {
		for _, problem := range problems {
			e.printf("%s\n", problem)
		}
		for _, notice := range folder.Notices {
			e.printf("notice: %s\n", notice)
		}
		if faulty {
			e.printf("%d mistakes in %d files\n", len(problems), len(folder.Files))
			return
		}
		e.printf("valid: %d files, %d regions, %d links, %d services\n", len(folder.Files),
			len(folder.Config.Regions), len(folder.Config.Links), len(folder.Config.Services))
	})
	if faulty {
		return &exitError{code: exitUsage, err: err, printed: true}
	}
	return printed
}
