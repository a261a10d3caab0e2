package pearusher.policy;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Plays periods of reports to one instance: each server answers in its own time and fails its own
 * share.
 */
final class PolicyFixture {
  final RecordingCommands fleet = new RecordingCommands();
  final FaastPolicy rules;
  final PolicySettings set;
  final Map<Long, Double> meanMs = new TreeMap<>();
  final Map<Long, Double> fails = new TreeMap<>();
  double triesPerZone = 100;
  long now = 100 * RecordingCommands.S;

  PolicyFixture(PolicySettings set) {
    this.set = set;
    rules = new FaastPolicy(set, fleet);
  }

  PolicyFixture start(List<ServerEntry> servers, int proxies) {
    rules.onEndpointList(now, ListUpdateKind.CACHED, servers);
    for (int p = 0; p < proxies; p++) {
      join(p, true);
    }
    rules.onBatchEnd(now);
    return this;
  }

  void join(int proxy, boolean standing) {
    join(proxy, proxy % set.zones(), standing);
  }

  void join(int proxy, int zone, boolean standing) {
    fleet.joined.add(proxy);
    rules.onProxyJoined(now, proxy, zone, 10, standing);
  }

  void leave(int proxy) {
    fleet.joined.remove(proxy);
    fleet.bound.remove(proxy);
    rules.onProxyLeft(now, proxy);
  }

  void list(ListUpdateKind form, List<ServerEntry> entries) {
    rules.onEndpointList(now, form, entries);
    rules.onBatchEnd(now);
  }

  void step(long us) {
    now += us;
    fleet.linesThisReply = 0;
  }

  /** One period: reports by the shares of each zone's table, then the end of the instant. */
  void period() {
    step(RecordingCommands.S);
    reports();
    rules.onBatchEnd(now);
    if (fleet.marks > 0) {
      for (int proxy : fleet.joined) {
        rules.onAcknowledgement(now, proxy, fleet.marks, 200_000);
      }
    }
  }

  /** A period's reports, by the shares of each zone's table. */
  void reports() {
    for (int z = 0; z < set.zones(); z++) {
      Map<Long, Double> table = fleet.tables.getOrDefault(z, Map.of());
      double sum = fleet.sum(z);
      for (long id : List.copyOf(table.keySet())) {
        if (fleet.withdrawn.contains(id)) {
          continue;
        }
        long tries = Math.round(triesPerZone * (table.get(id) / sum));
        long failed = Math.round(tries * fails.getOrDefault(id, 0.0));
        if (tries > 0) {
          rules.onLoadReport(
              now,
              id,
              z,
              tries,
              failed,
              RecordingCommands.S,
              Math.round(1000 * meanMs.getOrDefault(id, 200.0)),
              RecordingCommands.NO_LOAD);
        }
      }
    }
    for (int proxy : fleet.joined) {
      for (int k = 0; k < set.requestClasses().size(); k++) {
        rules.onUsageReport(now, proxy, k, 10, 0, RecordingCommands.S);
      }
    }
  }

  PolicyFixture periods(int n) {
    for (int i = 0; i < n; i++) {
      period();
    }
    return this;
  }
}
