package scale

import (
	"math/rand/v2"
	"sort"

	"valvering.example/valvering/internal/lab/world"
)

// tenants holds the tenants whose sets of edge nodes lie among the existing ones.
type tenants struct {
	customers []world.Customer
	byNode    []tenantSampler // by edge node
}

// tenantSampler draws a tenant with a probability proportional to its demand.
type tenantSampler struct {
	indexes          []int
	cumulativeDemand []float64 // cumulative demand
}

// drawTenants draws tenants in proportion to the part of the planned edge nodes that exists.
func drawTenants(c *Config, w *world.World) *tenants {
	here := *w
	here.Nodes, here.Servers = c.existing(), 1
	here.Load.Customers = max(1, c.Tenants*c.existing()/c.Nodes)
	here.Load.Uneven = 0
	population := here.Draw(c.Seed)
	t := &tenants{customers: population.Customers, byNode: make([]tenantSampler, c.existing())}
	for i := range t.customers {
		p := &t.customers[i]
		p.Spread = min(p.Spread, c.existing())
		p.First %= c.existing() - p.Spread + 1
		t.add(i, population.Share([]int{i}))
	}
	for no := range t.byNode {
		if len(t.byNode[no].indexes) == 0 { // too few tenants for each edge node to have one
			t.customers = append(t.customers, world.Customer{Key: "00000000000000ff", First: no, Spread: 1})
			t.add(len(t.customers)-1, 1)
		}
	}
	return t
}

// add adds a tenant to the edge nodes of its set.
func (t *tenants) add(i int, demand float64) {
	p := &t.customers[i]
	for no := p.First; no < p.First+p.Spread; no++ {
		d := &t.byNode[no]
		sum := demand / float64(p.Spread)
		if len(d.cumulativeDemand) > 0 {
			sum += d.cumulativeDemand[len(d.cumulativeDemand)-1]
		}
		d.indexes, d.cumulativeDemand = append(d.indexes, i), append(d.cumulativeDemand, sum)
	}
}

// pick draws a tenant for a request at an edge node.
func (t *tenants) pick(no int, rng *rand.Rand) *world.Customer {
	d := &t.byNode[no]
	i := sort.SearchFloat64s(d.cumulativeDemand, rng.Float64()*d.cumulativeDemand[len(d.cumulativeDemand)-1])
	return &t.customers[d.indexes[min(i, len(d.indexes)-1)]]
}

// count returns the number of tenants of an edge node.
func (t *tenants) count(no int) int { return len(t.byNode[no].indexes) }
