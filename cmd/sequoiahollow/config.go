package main

import (
	"errors"
	"slices"

	"sequoiahollow/state/shconfig"
)

// checkCommand checks a configuration folder without contacting any process.
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
	report := checkReport{
		Valid:    !faulty,
		Files:    slices.Concat([]string{}, folder.Files),
		Problems: append(shconfig.Problems{}, problems...),
		Notices:  slices.Concat([]string{}, folder.Notices),
	}
	printed := e.print(report, func() {
		for _, problem := range problems {
			e.printf("%s\n", problem)
		}
		for _, notice := range folder.Notices {
			e.printf("notice: %s\n", notice)
		}
		if faulty {
			e.printf("invalid: %s in %s\n", count(len(problems), "mistake"), count(len(folder.Files), "file"))
			return
		}
		e.printf("valid: %s, %s, %s, %s\n", count(len(folder.Files), "file"),
			count(len(folder.Config.Regions), "region"), count(len(folder.Config.Links), "link"),
			count(len(folder.Config.Services), "service"))
	})
	if faulty {
		return &exitError{code: exitUsage, err: err, printed: true}
	}
	return printed
}
