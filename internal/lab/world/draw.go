package world

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
)

// Streams of random numbers. Each purpose has its own, so that an additional draw in one does not shift the
// others. Both engines draw the world and its faults from the same streams: equal seeds give the same
// customers, servers and fault victims in both.
const (
	StreamWorld = iota + 1
	StreamWork
	StreamNet
	StreamDatagrams
	StreamClients
	StreamFaults
	StreamNodes // first of one stream for each edge node
)

// Stream returns the random number generator of a seed for a purpose.
func Stream(seed uint64, purpose int) *rand.Rand {
	return rand.New(rand.NewPCG(seed, uint64(purpose)*0x9e3779b97f4a7c15))
}

// Customer is a customer drawn from the seed.
type Customer struct {
	Key           string
	Plan          int
	First, Spread int // its set of edge nodes: the first one and the size
}

// Population holds the servers and customers that a seed gives for a world.
type Population struct {
	ServerSizes      []float64 // capacities of servers relative to the mean
	Customers        []Customer
	cumulativeDemand []float64 // cumulative demand of customers
}

// Draw draws servers and customers: plans by their fractions, demand by plan and skew, and sets of edge
// nodes by each node's share of the traffic.
func (w *World) Draw(seed uint64) *Population {
	rng := Stream(seed, StreamWorld)
	population := &Population{}
	for range w.Servers {
		population.ServerSizes = append(population.ServerSizes, math.Exp(w.Server.Unequal*rng.NormFloat64()))
	}
	cumulativeTraffic, sum := make([]float64, w.Nodes), 0.0
	for i := range cumulativeTraffic {
		sum += math.Exp(w.Load.Uneven * rng.NormFloat64())
		cumulativeTraffic[i] = sum
	}
	parts, total := 0.0, 0.0
	for _, p := range w.Plans {
		parts += p.Part
	}
	for i := range w.Load.Customers {
		at, plan := (float64(i)+0.5)/float64(w.Load.Customers)*parts, 0
		for plan < len(w.Plans)-1 && at >= w.Plans[plan].Part {
			at -= w.Plans[plan].Part
			plan++
		}
		spread := min(w.Nodes, max(1, w.Load.Spread/2+rng.IntN(w.Load.Spread+1)))
		population.Customers = append(population.Customers, Customer{fmt.Sprintf("%016x",
			uint64(i+1)*2654435761%(1<<33)), plan,
			sort.SearchFloat64s(cumulativeTraffic, rng.Float64()*sum) % w.Nodes, spread})
		s := w.Load.Skew
		total += w.Demand(w.Plans[plan]) * math.Exp(2*s*rng.NormFloat64()-2*s*s)
		population.cumulativeDemand = append(population.cumulativeDemand, total)
	}
	return population
}

// DrawCustomer draws a customer, weighted by demand.
func (p *Population) DrawCustomer(rng *rand.Rand) int {
	return min(sort.SearchFloat64s(p.cumulativeDemand,
		rng.Float64()*p.cumulativeDemand[len(p.cumulativeDemand)-1]), len(p.cumulativeDemand)-1)
}

// Share returns the fraction of all demand that comes from the listed customers.
func (p *Population) Share(list []int) float64 {
	sum := 0.0
	for _, i := range list {
		before := 0.0
		if i > 0 {
			before = p.cumulativeDemand[i-1]
		}
		sum += p.cumulativeDemand[i] - before
	}
	return sum / p.cumulativeDemand[len(p.cumulativeDemand)-1]
}

// ClassOf draws a class, weighted by its fraction of the requests.
func (w *World) ClassOf(rng *rand.Rand) int {
	sum := 0.0
	for i := range w.Classes {
		sum += w.Classes[i].Part
	}
	at := rng.Float64() * sum
	for i := range w.Classes {
		if at -= w.Classes[i].Part; at < 0 {
			return i
		}
	}
	return len(w.Classes) - 1
}
