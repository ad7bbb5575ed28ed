package main

import "briarspring/auditor"

// reportRecord is a report in JSON.
type reportRecord struct {
	Findings   []findingRecord   `json:"findings"`
	Difference *differenceRecord `json:"difference,omitempty"`
}

type findingRecord struct {
	Level   string `json:"level"`
	Subject string `json:"subject"`
	Text    string `json:"text"`
}

type differenceRecord struct {
	VersionBefore uint64         `json:"version-before"`
	VersionAfter  uint64         `json:"version-after"`
	Fields        []fieldRecord  `json:"fields"`
	Queues        []changeRecord `json:"queues"`
	Organisations []changeRecord `json:"organisations"`
}

type changeRecord struct {
	Change      string        `json:"change"`
	Name        string        `json:"name"`
	Fields      []fieldRecord `json:"fields,omitempty"`
	KeysAdded   int           `json:"keys-added"`
	KeysRemoved int           `json:"keys-removed"`
}

type fieldRecord struct {
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

func encodeReport(r auditor.Report) reportRecord {
	m := reportRecord{Findings: []findingRecord{}}
	for _, f := range r.Findings {
		m.Findings = append(m.Findings, findingRecord{Level: f.Level.String(), Subject: f.Subject, Text: f.Text})
	}
	if d := r.Difference; d != nil {
		m.Difference = &differenceRecord{
			VersionBefore: d.Before, VersionAfter: d.After, Fields: encodeFields(d.Fields),
			Queues: encodeChanges(d.Queues), Organisations: encodeChanges(d.Organisations),
		}
	}
	return m
}

func encodeFields(fields []auditor.FieldChange) []fieldRecord {
	list := []fieldRecord{}
	for _, f := range fields {
		list = append(list, fieldRecord{Field: f.Field, Before: f.Before, After: f.After})
	}
	return list
}

func encodeChanges(changes []auditor.Change) []changeRecord {
	list := []changeRecord{}
	for _, c := range changes {
		list = append(list, changeRecord{
			Change: c.Kind.String(), Name: c.Name, Fields: encodeFields(c.Fields), KeysAdded: c.KeysAdded, KeysRemoved: c.KeysRemoved,
		})
	}
	return list
}
