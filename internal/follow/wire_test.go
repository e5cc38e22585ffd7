// Copyright 2026 The canvaspulley Authors. SPDX-License-Identifier: MIT

package follow

import (
	"encoding/json"
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"github.com/canvaspulley/canvaspulley/internal/fleet"
)

// Guards against a field that is renamed on the wire together with its Go name: a gateway of another
// build then takes the start and the revision of every endpoint for 0.
func TestUpdateKeepsItsNamesOnTheWire(t *testing.T) {
	g := NewWithT(t)
	const sent = `{"number":7,"whole":true,"at":40,"endpoints":[{"ID":"r-1@5","Born":5,"Service":"s","Address":"10.0.0.1:80","Domain":"east","Slots":8,"Leaving":true,"ColdLeft":1000000000,"Revision":40,"Made":30}],"missing":["r-1@5"],"gone":[{"Name":"r-2","Revision":39}]}`
	want := Update{Number: 7, Whole: true, UpTo: 40, Endpoints: []fleet.Endpoint{{
		ID: "r-1@5", StartedAt: 5, Service: "s", Address: "10.0.0.1:80", Domain: "east", Slots: 8,
		Leaving: true, ColdLeft: time.Second, Revision: 40, CreatedRevision: 30,
	}}, Missing: []string{"r-1@5"}, Removals: []Removal{{Name: "r-2", Revision: 39}}}
	var got Update
	g.Expect(json.Unmarshal([]byte(sent), &got)).To(Succeed())
	g.Expect(got).To(Equal(want))
	raw, err := json.Marshal(want)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(raw)).To(Equal(sent))
}
