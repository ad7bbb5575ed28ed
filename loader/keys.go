package loader

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"
)

// key describes a key of the settings file.
type key struct {
	section  string
	name     string
	fallback string // Default value, unless the key is required.
	required bool
	kind     kind
	help     string
	set      func(*Settings, any) // Stores the parsed value.
}

// kind is the format of a value.
type kind struct {
	expected string                   // Description for the reference and error messages.
	parse    func(string) (any, bool) // Returns false if the value is invalid.
}

var nameRe = regexp.MustCompile(`^[a-z0-9]([a-z0-9-]{0,61}[a-z0-9])?$`)

var (
	kindName                = kind{"1 to 63 lower-case letters, digits and hyphens", parseName}
	kindAddress             = kind{"an IP address and port, such as 127.0.0.1:7000", parseAddress}
	kindAddresses           = kind{"IP addresses with ports, separated by commas", parseAddresses}
	kindDataCentreAddresses = kind{"data centres with addresses, such as viljandi=127.0.0.1:7000, separated by commas", parseDataCentreAddresses}
	kindFile                = kind{"a file's path", func(v string) (any, bool) { return v, v != "" }}
	kindDuration            = kind{"a duration above zero, such as 250ms or 2s", parseDuration}
	kindPositiveInt         = kind{"a whole number above zero", parsePositiveInt}
	kindNonNegativeInt      = kind{"a whole number, zero or above", parseNonNegativeInt}
	kindNonNegativeFloat    = kind{"a number, zero or above", parseNonNegativeFloat}
	kindBytes               = kind{"a number of bytes, such as 8MiB or 64KiB", parseBytes}
	kindLevel               = oneOf("trace", "debug", "info", "warn", "error")
	kindFormat              = oneOf("text", "json")
	kindBalancingRule       = oneOf("weighted-latency", "least-outstanding", "random")
)

// oneOf returns the kind of a value that must be one of words.
func oneOf(words ...string) kind {
	return kind{"one of " + strings.Join(words, ", "), func(v string) (any, bool) { return v, slices.Contains(words, v) }}
}

func parseName(v string) (any, bool) { return v, nameRe.MatchString(v) }

func parseAddress(v string) (any, bool) {
	_, err := netip.ParseAddrPort(v)
	return v, err == nil
}

func parseAddresses(v string) (any, bool) {
	list := []string{}
	for _, part := range strings.Split(v, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		if _, ok := parseAddress(part); !ok {
			return nil, false
		}
		list = append(list, part)
	}
	return list, true
}

func parseDataCentreAddresses(v string) (any, bool) {
	list := []DataCentreAddress{}
	for _, part := range strings.Split(v, ",") {
		part = strings.TrimSpace(part)
		if part == "" {
			continue
		}
		name, address, found := strings.Cut(part, "=")
		_, ok := parseAddress(address)
		if !found || !ok || !nameRe.MatchString(name) {
			return nil, false
		}
		list = append(list, DataCentreAddress{DataCentre: name, Address: address})
	}
	return list, true
}

func parseDuration(v string) (any, bool) {
	d, err := time.ParseDuration(v)
	return d, err == nil && d > 0
}

func parsePositiveInt(v string) (any, bool) {
	n, err := strconv.Atoi(v)
	return n, err == nil && n > 0
}

func parseNonNegativeInt(v string) (any, bool) {
	n, err := strconv.Atoi(v)
	return n, err == nil && n >= 0
}

func parseNonNegativeFloat(v string) (any, bool) {
	f, err := strconv.ParseFloat(v, 64)
	return f, err == nil && f >= 0 && f < 1e9
}

func parseBytes(v string) (any, bool) {
	factor := int64(1)
	for _, unit := range []struct {
		suffix string
		factor int64
	}{{"KiB", 1 << 10}, {"MiB", 1 << 20}, {"GiB", 1 << 30}} {
		if number, ok := strings.CutSuffix(v, unit.suffix); ok {
			v, factor = number, unit.factor
		}
	}
	n, err := strconv.ParseInt(v, 10, 32)
	return n * factor, err == nil && n > 0
}

// keys lists all keys in the order of the reference.
var keys = []key{
	{section: "process", name: "name", required: true, kind: kindName,
		help: "Unique name of this host. The gateway and the scheduler add their role to it.",
		set:  func(s *Settings, v any) { s.Process.Name = v.(string) }},
	{section: "process", name: "data-centre", required: true, kind: kindName,
		help: "Data centre of this host.",
		set:  func(s *Settings, v any) { s.Process.DataCentre = v.(string) }},
	{section: "process", name: "stop-time", fallback: "30s", kind: kindDuration,
		help: "Longest time that a planned stop waits for in-flight requests.",
		set:  func(s *Settings, v any) { s.Process.StopTime = v.(time.Duration) }},
	{section: "log", name: "level", fallback: "info", kind: kindLevel,
		help: "Lowest level that is logged.",
		set:  func(s *Settings, v any) { s.Log.Level = v.(string) }},
	{section: "log", name: "format", fallback: "text", kind: kindFormat,
		help: "Format of the log lines.",
		set:  func(s *Settings, v any) { s.Log.Format = v.(string) }},
	{section: "platform", name: "log-address", required: true, kind: kindAddress,
		help: "Address of the platform's log.",
		set:  func(s *Settings, v any) { s.Platform.LogAddress = v.(string) }},
	{section: "platform", name: "hosts-address", required: true, kind: kindAddress,
		help: "Address of the platform's list of hosts.",
		set:  func(s *Settings, v any) { s.Platform.HostsAddress = v.(string) }},
	{section: "tls", name: "certificate", required: true, kind: kindFile,
		help: "PEM file of this host's certificate; reloaded when it changes.",
		set:  func(s *Settings, v any) { s.TLS.Certificate = v.(string) }},
	{section: "tls", name: "key", required: true, kind: kindFile,
		help: "PEM file of the certificate's private key.",
		set:  func(s *Settings, v any) { s.TLS.Key = v.(string) }},
	{section: "tls", name: "authority", required: true, kind: kindFile,
		help: "PEM file of the certificate authority that signs the certificates of all hosts.",
		set:  func(s *Settings, v any) { s.TLS.Authority = v.(string) }},
	{section: "scheduler", name: "admin-address", required: true, kind: kindAddress,
		help: "Address of the scheduler's admin port.",
		set:  func(s *Settings, v any) { s.Scheduler.AdminAddress = v.(string) }},
	{section: "scheduler", name: "operators-address", required: true, kind: kindAddress,
		help: "Address at which operators' calls are served.",
		set:  func(s *Settings, v any) { s.Scheduler.OperatorsAddress = v.(string) }},
	{section: "scheduler", name: "peer-address", required: true, kind: kindAddress,
		help: "UDP address at which gateways and other schedulers connect.",
		set:  func(s *Settings, v any) { s.Scheduler.PeerAddress = v.(string) }},
	{section: "scheduler", name: "peers", kind: kindAddresses,
		help: "Peer addresses of the other schedulers of this data centre.",
		set:  func(s *Settings, v any) { s.Scheduler.Peers = v.([]string) }},
	{section: "scheduler", name: "elsewhere", kind: kindAddresses,
		help: "Peer addresses of schedulers in other data centres, used when this host can't reach the log.",
		set:  func(s *Settings, v any) { s.Scheduler.Elsewhere = v.([]string) }},
	{section: "scheduler", name: "lease", fallback: "15s", kind: kindDuration,
		help: "How long a worker keeps running its tasks after the last contact with the owner.",
		set:  func(s *Settings, v any) { s.Scheduler.Lease = v.(time.Duration) }},
	{section: "scheduler", name: "outage-lease", fallback: "10m", kind: kindDuration,
		help: "Lease that is used while the log can't be read.",
		set:  func(s *Settings, v any) { s.Scheduler.OutageLease = v.(time.Duration) }},
	{section: "scheduler", name: "start-window", fallback: "2s", kind: kindDuration,
		help: "Longest time after the last read of the log at which a task may start.",
		set:  func(s *Settings, v any) { s.Scheduler.StartWindow = v.(time.Duration) }},
	{section: "scheduler", name: "exchange-interval", fallback: "1s", kind: kindDuration,
		help: "Interval between two exchanges with a worker.",
		set:  func(s *Settings, v any) { s.Scheduler.ExchangeInterval = v.(time.Duration) }},
	{section: "scheduler", name: "owner-timeout", fallback: "2500ms", kind: kindDuration,
		help: "How long the owner may write nothing to the log before a follower claims ownership.",
		set:  func(s *Settings, v any) { s.Scheduler.OwnerTimeout = v.(time.Duration) }},
	{section: "scheduler", name: "snapshot-interval", fallback: "10m", kind: kindDuration,
		help: "Interval between two snapshots of a stream; at most a third of the log's retention.",
		set:  func(s *Settings, v any) { s.Scheduler.SnapshotInterval = v.(time.Duration) }},
	{section: "scheduler", name: "snapshot-records", fallback: "20000", kind: kindPositiveInt,
		help: "Number of records between two snapshots of a stream; at most a third of what the log retains.",
		set:  func(s *Settings, v any) { s.Scheduler.SnapshotRecords = uint64(v.(int)) }},
	{section: "scheduler", name: "evictions-per-minute", fallback: "60", kind: kindPositiveInt,
		help: "Maximum number of evictions per minute of batch tasks that slow a service.",
		set:  func(s *Settings, v any) { s.Scheduler.EvictionsPerMin = v.(int) }},
	{section: "scheduler", name: "max-buffered", fallback: "16MiB", kind: kindBytes,
		help: "Maximum total size of operators' calls, their connections and unread responses that are buffered at once; one call may have a sixth of it.",
		set:  func(s *Settings, v any) { s.Scheduler.MaxBuffered = v.(int64) }},
	{section: "scheduler", name: "max-connections", fallback: "256", kind: kindPositiveInt,
		help: "Maximum number of open connections from operators; above it, the one with the least progress for its age is closed.",
		set:  func(s *Settings, v any) { s.Scheduler.MaxConnections = int64(v.(int)) }},
	{section: "scheduler", name: "stall-time", fallback: "10s", kind: kindDuration,
		help: "Time after which a call of which nothing arrives, or a response of which nothing is read, is ended.",
		set:  func(s *Settings, v any) { s.Scheduler.StallTime = v.(time.Duration) }},
	{section: "gateway", name: "admin-address", required: true, kind: kindAddress,
		help: "Address of the gateway's admin port.",
		set:  func(s *Settings, v any) { s.Gateway.AdminAddress = v.(string) }},
	{section: "gateway", name: "address", required: true, kind: kindAddress,
		help: "Address at which callers' requests are accepted.",
		set:  func(s *Settings, v any) { s.Gateway.Address = v.(string) }},
	{section: "gateway", name: "schedulers", required: true, kind: kindAddresses,
		help: "Peer addresses of the schedulers of this data centre.",
		set:  func(s *Settings, v any) { s.Gateway.Schedulers = v.([]string) }},
	{section: "gateway", name: "seat", required: true, kind: kindNonNegativeInt,
		help: "Index of this gateway among those of the data centre, from zero. Two gateways must never run with the same index.",
		set:  func(s *Settings, v any) { s.Gateway.Seat = v.(int) }},
	{section: "gateway", name: "seats", required: true, kind: kindPositiveInt,
		help: "Number of gateways that share the executors' slots; the same in the whole data centre.",
		set:  func(s *Settings, v any) { s.Gateway.Seats = v.(int) }},
	{section: "gateway", name: "rule", fallback: "weighted-latency", kind: kindBalancingRule,
		help: "Rule that chooses the executor of a request.",
		set:  func(s *Settings, v any) { s.Gateway.Rule = v.(string) }},
	{section: "gateway", name: "default-timeout", fallback: "10s", kind: kindDuration,
		help: "Timeout of requests that don't specify one.",
		set:  func(s *Settings, v any) { s.Gateway.DefaultTimeout = v.(time.Duration) }},
	{section: "gateway", name: "max-timeout", fallback: "1m", kind: kindDuration,
		help: "Longest timeout that a caller can request.",
		set:  func(s *Settings, v any) { s.Gateway.MaxTimeout = v.(time.Duration) }},
	{section: "gateway", name: "max-body", fallback: "8MiB", kind: kindBytes,
		help: "Maximum size of a request body.",
		set:  func(s *Settings, v any) { s.Gateway.MaxBody = v.(int64) }},
	{section: "gateway", name: "max-buffered", fallback: "64MiB", kind: kindBytes,
		help: "Maximum total size of the request bodies and unread responses that are buffered at once.",
		set:  func(s *Settings, v any) { s.Gateway.MaxBuffered = v.(int64) }},
	{section: "gateway", name: "max-header", fallback: "32KiB", kind: kindBytes,
		help: "Maximum size of a request's headers.",
		set:  func(s *Settings, v any) { s.Gateway.MaxHeader = v.(int64) }},
	{section: "gateway", name: "max-connections", fallback: "4096", kind: kindPositiveInt,
		help: "Maximum number of open connections from callers; above it, the one with the least progress for its age is closed.",
		set:  func(s *Settings, v any) { s.Gateway.MaxConnections = int64(v.(int)) }},
	{section: "gateway", name: "stall-time", fallback: "10s", kind: kindDuration,
		help: "Time after which a request of which nothing arrives, or a response of which nothing is read, is ended.",
		set:  func(s *Settings, v any) { s.Gateway.StallTime = v.(time.Duration) }},
	{section: "gateway", name: "queue-length", fallback: "256", kind: kindNonNegativeInt,
		help: "Maximum number of requests per service that wait for a slot.",
		set:  func(s *Settings, v any) { s.Gateway.QueueLength = v.(int) }},
	{section: "gateway", name: "retry-share", fallback: "0.1", kind: kindNonNegativeFloat,
		help: "Retries allowed per new request, as a fraction.",
		set:  func(s *Settings, v any) { s.Gateway.RetryShare = v.(float64) }},
	{section: "gateway", name: "caller-rate", fallback: "0", kind: kindNonNegativeFloat,
		help: "Maximum number of requests a second from one caller's address; zero for no limit.",
		set:  func(s *Settings, v any) { s.Gateway.CallerRate = v.(float64) }},
	{section: "gateway", name: "notice-time", fallback: "2s", kind: kindDuration,
		help: "Time between reporting not ready and closing the listener in a planned stop.",
		set:  func(s *Settings, v any) { s.Gateway.NoticeTime = v.(time.Duration) }},
	{section: "gateway", name: "elsewhere", kind: kindDataCentreAddresses,
		help: "Gateways of other data centres that accept requests for which there is no slot here.",
		set:  func(s *Settings, v any) { s.Gateway.Elsewhere = v.([]DataCentreAddress) }},
}

// read parses the key's value in the file and stores it in s. It returns a fault
// and false if the value is missing or invalid.
func (k key) read(file *ini.File, s *Settings) (Fault, bool) {
	value := k.fallback
	if section, err := file.GetSection(k.section); err == nil && section.HasKey(k.name) {
		value = strings.TrimSpace(section.Key(k.name).Value())
	} else if k.required {
		return Fault{Section: k.section, Key: k.name, Expected: "is missing, expected " + k.kind.expected}, false
	}
	parsed, ok := k.kind.parse(value)
	if !ok {
		return Fault{Section: k.section, Key: k.name, Value: value, Expected: "expected " + k.kind.expected}, false
	}
	k.set(s, parsed)
	return Fault{}, true
}

// sectionKeys returns the names of the keys of a section.
func sectionKeys(section string) []string {
	var names []string
	for _, k := range keys {
		if k.section == section {
			names = append(names, k.name)
		}
	}
	return names
}

// sectionNames returns the names of the sections in the order of the reference.
func sectionNames() []string {
	var names []string
	for _, k := range keys {
		if !slices.Contains(names, k.section) {
			names = append(names, k.section)
		}
	}
	return names
}

// Reference returns the settings reference in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings\n\nGenerated by `briarspring check-settings --reference`; a test checks that it is up to date.\n")
	for _, section := range sectionNames() {
		fmt.Fprintf(&b, "\n## [%s]\n\n| key | default | expected | meaning |\n| --- | --- | --- | --- |\n", section)
		for _, k := range keys {
			if k.section != section {
				continue
			}
			fallback := "`" + k.fallback + "`"
			switch {
			case k.required:
				fallback = "required"
			case k.fallback == "":
				fallback = "none"
			}
			fmt.Fprintf(&b, "| `%s` | %s | %s | %s |\n", k.name, fallback, k.kind.expected, k.help)
		}
	}
	return b.String()
}
