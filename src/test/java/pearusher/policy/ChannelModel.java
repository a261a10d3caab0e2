package pearusher.policy;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Model of the channel to the proxies, which counts lines as the protocol does and independently of
 * the policy. The overhead and the lines of each message are added to one queue. The queue drains
 * at the model's rate, whatever rate the settings state. A proxy acknowledges each message that
 * arrives.
 */
final class ChannelModel {
  /** Fixed lines of a message: its overhead and the acknowledgement number. */
  static final int OVERHEAD_LINES = 11;

  /** Rate and backlog limit of the channel in the default settings. */
  static final int LINES_PER_SECOND = 3000;

  static final int MAX_BACKLOG_LINES = 4500;

  private record Message(int proxy, int ackNumber, long sentAtUs) {}

  private final PolicyFixture fixture;
  private final double linesPerSecond;
  private final long ackDelayUs;
  private final ArrayDeque<Message> queue = new ArrayDeque<>();
  private final ArrayDeque<Double> linesInQueue = new ArrayDeque<>();
  private final List<Message> pendingAcks = new ArrayList<>();
  private final List<Long> pendingAckTimesUs = new ArrayList<>();
  private long nowUs;
  private double backlogLines;
  double maxBacklogLines;

  ChannelModel(PolicyFixture fixture, double linesPerSecond, long ackDelayUs) {
    this.fixture = fixture;
    this.linesPerSecond = linesPerSecond;
    this.ackDelayUs = ackDelayUs;
    nowUs = fixture.nowUs;
    fixture.commands.issued.clear();
  }

  double backlogLines() {
    return backlogLines;
  }

  /** Drains the queue up to the fixture's time and delivers the acknowledgements that are due. */
  void deliverAcks() {
    double capacityLines = (fixture.nowUs - nowUs) / 1e6 * linesPerSecond;
    double drainedLines = 0;
    while (!queue.isEmpty() && linesInQueue.peek() <= capacityLines - drainedLines) {
      drainedLines += linesInQueue.poll();
      Message message = queue.poll();
      pendingAcks.add(message);
      pendingAckTimesUs.add(nowUs + Math.round(drainedLines / linesPerSecond * 1e6) + ackDelayUs);
    }
    if (!queue.isEmpty()) {
      linesInQueue.push(linesInQueue.poll() - (capacityLines - drainedLines));
    }
    nowUs = fixture.nowUs;
    backlogLines = linesInQueue.stream().mapToDouble(lines -> lines).sum();
    for (int i = 0; i < pendingAcks.size(); i++) {
      if (pendingAckTimesUs.get(i) <= nowUs) {
        Message message = pendingAcks.remove(i);
        long arrivedAtUs = pendingAckTimesUs.remove(i--);
        fixture.policy.onAcknowledgement(
            nowUs, message.proxy, message.ackNumber, arrivedAtUs - message.sentAtUs);
      }
    }
  }

  /**
   * Queues the messages that result from the commands since the last call.
   *
   * @return lines by proxy
   */
  Map<Integer, Integer> send() {
    Map<Integer, Integer> linesByProxy = messageLines(fixture, Set.of());
    linesByProxy.forEach(
        (proxy, count) -> {
          queue.add(new Message(proxy, fixture.commands.lastAckNumber, fixture.nowUs));
          linesInQueue.add((double) count);
          backlogLines += count;
        });
    maxBacklogLines = Math.max(maxBacklogLines, backlogLines);
    return linesByProxy;
  }

  /**
   * Returns the lines of the message to each proxy that results from the commands since the last
   * call. A message consists of its overhead and, after a bind, a complete table with
   * reinstatements of suspected servers, otherwise the changes.
   */
  static Map<Integer, Integer> messageLines(PolicyFixture fixture, Set<Long> suspected) {
    Changes changes = new Changes();
    fixture.commands.issued.forEach(changes::add);
    fixture.commands.issued.clear();
    Map<Integer, Integer> linesByProxy = new TreeMap<>();
    for (int proxy : fixture.commands.joinedProxies) {
      int lines = changes.linesFor(proxy, fixture.commands, suspected);
      if (lines > 0) {
        linesByProxy.put(proxy, OVERHEAD_LINES + lines);
      }
    }
    return linesByProxy;
  }

  /** Changes of one message, at most one for each weight, admission level and server. */
  private static final class Changes {
    private final Map<Integer, Set<String>> changesByTable = new TreeMap<>();
    private final Set<Integer> newlyBound = new TreeSet<>();
    private final Set<Long> ejectionChanges = new TreeSet<>();

    void add(RecordedCommand command) {
      if (command instanceof RecordedCommand.BindProxy bind) {
        newlyBound.add(bind.proxy());
      } else if (command instanceof RecordedCommand.SetWeight weight) {
        addToTable(weight.table(), "weight " + weight.server());
      } else if (command instanceof RecordedCommand.SetAdmission admission) {
        addToTable(admission.table(), "admission " + admission.classBits());
      } else if (command instanceof RecordedCommand.Eject eject) {
        ejectionChanges.add(eject.server());
      } else if (command instanceof RecordedCommand.Reinstate reinstate) {
        ejectionChanges.add(reinstate.server());
      }
    }

    private void addToTable(int table, String change) {
      changesByTable.computeIfAbsent(table, t -> new TreeSet<>()).add(change);
    }

    int linesFor(int proxy, RecordingCommands commands, Set<Long> suspected) {
      Integer table = commands.tableByProxy.get(proxy);
      if (table == null) {
        return (newlyBound.contains(proxy) ? 1 : 0) + ejectionChanges.size();
      }
      Set<Long> servers = commands.weightsByTable.getOrDefault(table, Map.of()).keySet();
      int tableLines =
          newlyBound.contains(proxy)
              ? 1 + servers.size() + countIn(servers, suspected)
              : changesByTable.getOrDefault(table, Set.of()).size();
      return tableLines + countIn(servers, ejectionChanges);
    }

    private static int countIn(Set<Long> servers, Set<Long> counted) {
      return (int) counted.stream().filter(servers::contains).count();
    }
  }
}
