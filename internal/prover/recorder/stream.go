package recorder

import (
	"bytes"
	"encoding/json"

	"github.com/cockroachdb/errors"
)

// completion is a whole answer or a part of a streamed one, on either endpoint.
type completion struct {
	Choices []struct {
		Text  string `json:"text"`
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
}

// textOf returns the text of a completion.
func textOf(raw []byte) ([]byte, error) {
	var c completion
	if err := json.Unmarshal(raw, &c); err != nil {
		return nil, errors.Wrap(err, "read completion")
	}
	if len(c.Choices) != 1 {
		return nil, errors.Newf("completion has %d choices", len(c.Choices))
	}
	choice := c.Choices[0]
	return []byte(choice.Text + choice.Delta.Content + choice.Message.Content), nil
}

// stream is the content of a stream of events.
type stream struct {
	text []byte
	done bool
	// problem holds the problem details of an error event.
	problem []byte
}

// parseStream reads the events. An event that is not closed by an empty line is incomplete and does not count.
func parseStream(raw []byte) (stream, error) {
	var s stream
	events := bytes.Split(raw, []byte("\n\n"))
	for _, event := range events[:len(events)-1] {
		if s.done {
			return s, errors.New("event after the end mark")
		}
		if err := s.add(event); err != nil {
			return s, err
		}
	}
	return s, nil
}

func (s *stream) add(event []byte) error {
	isError := false
	var data []byte
	for line := range bytes.SplitSeq(event, []byte("\n")) {
		if bytes.Equal(line, []byte(errorEvent)) {
			isError = true
		}
		if rest, found := bytes.CutPrefix(line, []byte(dataPrefix)); found {
			data = append(data, bytes.TrimPrefix(rest, []byte(" "))...)
		}
	}
	switch {
	case isError:
		s.problem = data
	case bytes.Equal(data, []byte(doneMark)):
		s.done = true
	case len(data) > 0:
		text, err := textOf(data)
		if err != nil {
			return err
		}
		s.text = append(s.text, text...)
	}
	return nil
}
