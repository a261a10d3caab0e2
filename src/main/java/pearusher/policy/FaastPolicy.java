package pearusher.policy;

import static java.util.stream.Collectors.toSet;
import static pearusher.policy.Statistics.median;
import static pearusher.policy.Statistics.total;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collection;
import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Predicate;
import java.util.function.ToDoubleFunction;
import java.util.stream.IntStream;
import java.util.stream.Stream;

/**
 * Every decision of pearusher; its settings, events and orders are in Assigner.java beside it.
 * FaaSt's tables are the ordinary path: each period a zone's shared table gives every serving
 * server the weight 1/r of its time r = d + p, normalised. {@link #plan} runs once a period; {@link
 * #send} alone orders.
 */
public final class FaastPolicy implements AssignmentPolicy {

  // Tuned values. Each is a ratio of a setting where one fits.

  /**
   * Periods after which evidence counts half: reports lag by one or more, and a period holds few
   * tries.
   */
  private static final double HALF_PERIODS = 6.0;

  /** Tries of the table's average that stand in for what was not heard yet. */
  private static final double PRIOR_TRIES = 60.0;

  /** Good tries that stand in the same way when its share of failures is taken. */
  private static final double FAIL_PRIOR = 8.0;

  /** Tries of the server's own average over all zones that steady one zone's figure. */
  private static final double POOL_TRIES = 150.0;

  /** A guess at an unloaded answer, as a share of the shortest aim, until the first report. */
  private static final double FIRST_GUESS = 0.3;

  /**
   * Most that an earlier process's weights may tell servers' times apart: an ill one's tells less.
   */
  private static final double GUESS_MOST = 4;

  /** Most of a zone's requests that stay in it: the rest keeps other zones' figures fresh. */
  private static final double HOME_MOST = 0.93;

  /**
   * Servers or proxies of a zone at which the pull starts at none; it nears the full with their
   * square.
   */
  private static final double HOME_FEW = 4.0;

  /** How the pull of the own zone grows in a calm period, and shrinks when its servers do worse. */
  private static final double HOME_GROW = 0.04, HOME_SHRINK = 0.4;

  /**
   * Own servers do worse when their time, failures counted, passes that of the others so many
   * times.
   */
  private static final double HOME_WORSE = 1.2, HOME_CALM = 1.1;

  /** The pull grows only while the own servers' mean stays under this share of the aim. */
  private static final double HOME_AIMS = 0.3;

  /** The design's dead band: a line goes out once its weight moved by a tenth. */
  private static final double DEAD_BAND = 0.1;

  /** A scale of a table's weights this far from 1 goes back towards it. */
  private static final double SCALE_FAR = 100;

  /** Most that a weight may grow or shrink in a period: reports lag, large steps swing. */
  private static final double GROW = 1.3, SHRINK = 0.6;

  /**
   * A server that is well again returns to this share of an even part at once, then grows bounded.
   */
  private static final double BACK_SHARE = 0.4;

  /**
   * Failures held against a server, at most: condemned in a few tries, heard again a few periods
   * later.
   */
  private static final double BAD_MOST = 25.0;

  /** The design's count of a failure: so many times the largest average. */
  private static final double FAILURE_TIMES = 2.0;

  /** Least factor of an ill server: enough tries to see it well again. */
  private static final double ILL_LEAST = 0.01;

  /**
   * Factors at which a server is called ill, and well again: for the logs, probes and overload
   * only.
   */
  private static final double ILL_UNDER = 0.3, WELL_OVER = 0.6;

  /** The design's first weight of a new server, as a share of the average. */
  private static final double COLD_FIRST = 0.1;

  /** Share of rule 4 multiple that a cold server may get, of a usual server's requests. */
  private static final double COLD_BUDGET = 0.4;

  /**
   * Power of the share of good answers by which that part shrinks: proxies crowd onto the few
   * unknown.
   */
  private static final double COLD_JAM = 3.0;

  /**
   * Under this share of good answers the readiest servers that hold the second share of all carry
   * all.
   */
  private static final double SHY_GOOD = 0.85, SHY_REST = 0.3;

  /** Reports further behind than this don't show the fleet as it is: the same as none. */
  private static final double STALE_PERIODS = 2.0;

  /**
   * Share of the backlog, and of the messages a proxy may be sent, that what can be put off may
   * fill.
   */
  private static final double QUEUE_CALM = 0.5;

  /**
   * Share under which the channel must be before weights fill it to the calm share, in few
   * messages.
   */
  private static final double QUEUE_LINES = 0.1;

  /**
   * Share left at which few withdrawals go; shares of cold cuts and binds, withdrawals, and
   * returns.
   */
  private static final double QUEUE_FEW = 0.27,
      QUEUE_SOON = 0.8,
      QUEUE_MOST = 0.9,
      QUEUE_BACK = 0.6;

  /**
   * Share of the backlog that lines may fill of which no answer has told that they left the
   * channel.
   */
  private static final double QUEUE_OUT = 0.95;

  /** Part of the believed pace that the channel has at the least while no answer comes. */
  private static final double SLOWEST = 0.2;

  /**
   * Shares of the lines that reach proxies within the grace up to which all but withdrawals may
   * wait.
   */
  private static final double QUEUE_GRACE = 0.3, QUEUE_LEAST = 0.1;

  /** Graces until joiners that hold tables and wait for the first passes hear the withdrawals. */
  private static final double HELD_BY = 0.3;

  /**
   * Graces after a start until what was let in again before it has been told by former assigners.
   */
  private static final double HELD_OLD = 1.5;

  /**
   * Graces after which a gone server is forgotten, or a zone without proxies here: none holds it
   * then.
   */
  private static final double FORGET = 30;

  /**
   * Of the lines that a bind can carry, the share for servers of the zones that have proxies here.
   */
  private static final double SCOPE_OWN = 0.75;

  /** Share of a period after which what found no room in the channel is tried again. */
  private static final double SEND_AGAIN = 0.1;

  /**
   * Overload, ill servers aside: a period's mean as a share of the shortest aim, or what failed.
   */
  private static final double OVER_AIMS = 0.6, OVER_FAILED = 0.1;

  /**
   * Failures are the load's only while the mean passes the quickest period's (which grows) so
   * often.
   */
  private static final double OVER_SLOWER = 1.4, QUICK_GROW = 1.02;

  /** Calm again under this share of both. */
  private static final double CALM_SHARE = 0.7;

  /**
   * Levels: deepest cut, periods and aims until it shows, growth, least let in, of a class; no
   * limit.
   */
  private static final double LEVEL_CUT = 0.6, LEVEL_WAIT = 1.5, LEVEL_GROW = 1.15;

  /** No further cut while what would be cut shrinks to this part from one period to the next. */
  private static final double LEVEL_BETTER = 0.8;

  /**
   * Growth near the level that jammed last, and how near that is: what was raised shows only later.
   */
  private static final double LEVEL_CREEP = 1.04, LEVEL_NEAR = 0.85;

  private static final double LEVEL_LEAST = 0.15, CLASS_LEAST = 0.03, NO_LIMIT = 1e6;

  /** Warm servers that say how busy they are: overload from the first on, brought to the second. */
  private static final double BUSY_OVER = 0.85, BUSY_AIM = 0.7;

  /** What they said counts so much a period later; fewer answers than the second tell nothing. */
  private static final double BUSY_KEEP = 0.5, BUSY_LEAST = 1;

  /**
   * Part of the limit for asking the list after which a failed watch is renewed, and its most
   * multiple.
   */
  private static final double ASK_AGAIN = 0.05, ASK_MOST = 4;

  /** A period's pass waits this share of a period for the reports, then goes without them. */
  private static final double EARLY = 0.8, LATEST = 1.3;

  /**
   * After a start, passes with reports, and periods at most, until proxies that hold tables are
   * bound.
   */
  private static final double SETTLE_PASSES = 2, SETTLE_MOST = 3;

  /** From this part of requests tried on, levels held from before count as full. */
  private static final double SETTLE_FULL = 0.85;

  private static final long PASS = 1, WATCH = 2, SEND = 3;

  private final PolicySettings set;
  private final PolicyCommands to;
  private final double aimUs;
  private final Map<Long, Server> servers = new TreeMap<>();
  private final Map<Integer, ProxyState> proxies = new TreeMap<>();

  /** The serving servers, as of the last pass. */
  private final List<Server> up = new ArrayList<>();

  /**
   * The tables of zones in scope, those that have proxies here; and those of subsets of the fleet:
   * subset k of zone z at z + k * zones.
   */
  private final TreeMap<Integer, ZoneTable> tables = new TreeMap<>();

  private final int zones;

  /** Lines of a table that a bind can carry, each with a word. */
  private final long mostListed;

  private int subsets;
  private boolean surge, promotes;

  /** Servers to withdraw, and those to let in again, oldest first. */
  private final LinkedHashSet<Long> withdrawals = new LinkedHashSet<>();

  private final LinkedHashSet<Long> returns = new LinkedHashSet<>();

  /** Lines of the reply at hand, by proxy. */
  private Map<Integer, Double> lines = new TreeMap<>();

  private final double[] level;
  private final double full;
  private boolean restarts, moved, sendAgain, kept, started, watching, watchAsked, settled, forgot;
  private boolean reports, reported, over, passDue, rescope;
  private long startUs, heldUs, cutUs, plannedUs, passUs, waitingUs;
  private int heardPasses, mark, failures, asks;
  private double asked, tried, waiting, lastCut, lastGood, outlook;

  /**
   * Lines ordered, those that have surely left the channel, and those that are out at its slowest.
   */
  private double ordered, gone, slow;

  /**
   * A reply that may be out: lines ordered before and after it, waiting, to be answered, and
   * answered.
   */
  private record Reply(
      int mark,
      double before,
      double after,
      double waiting,
      Map<Integer, Double> lines,
      double[] told) {}

  private final ArrayDeque<Reply> replies = new ArrayDeque<>();
  private double let = 1, ceiling = 1, quick = 1, pace = 1;

  /** What the last period's own reports brought, ill servers aside. */
  private final AttemptStats period = new AttemptStats();

  /**
   * What servers said of how busy they are, of how many answers; capacity that was warm; who was
   * asked.
   */
  private double busySum, busyN, warmth;

  public FaastPolicy(PolicySettings set, PolicyCommands to) {
    this.set = set;
    this.to = to;
    aimUs =
        set.requestClasses().stream()
            .mapToLong(RequestClass::latencyObjectiveUs)
            .min()
            .orElse(set.controlPeriodUs());
    full = set.admissionMode() == AdmissionMode.RATE ? NO_LIMIT : 1;
    level = new double[set.requestClasses().size()];
    Arrays.fill(level, full);
    zones = Math.max(1, set.zones());
    mostListed =
        (long)
            Math.max(
                1,
                (most(QUEUE_SOON) - set.channel().messageOverheadLines() - 2 - level.length) / 2);
    if (set.slices() > 0) {
      to.log("slices are not served: this instance binds and orders nothing");
    }
  }

  // The list of servers.

  @Override
  public void onEndpointList(long now, ListUpdateKind form, List<ServerEntry> entries) {
    if (form == ListUpdateKind.FAILED) {
      if (watching || !watchAsked) {
        to.log("list lost");
      }
      watching = false;
      watchAsked = true;
      double again =
          Math.max(set.controlPeriodUs() / 2.0, ASK_AGAIN * set.limits().maxPollIntervalUs());
      double spread = 0.75 + Math.floorMod(set.seed() * ++failures, 1000) / 2000.0;
      to.setTimer(
          (long) (again * spread * Math.min(ASK_MOST, 1 << Math.min(failures - 1, 9))), WATCH);
      return;
    }
    if (form != ListUpdateKind.CACHED && !watching) {
      watching = true;
      failures = 0;
      if (watchAsked) {
        to.log("list back");
      }
    }
    rescope = true;
    LinkedHashSet<Long> named = new LinkedHashSet<>();
    for (ServerEntry e : entries) {
      named.add(e.server());
      Server s = servers.get(e.server());
      if (s == null) {
        if (e.lifecycle() == Lifecycle.REMOVED) {
          continue;
        }
        s = new Server(e.server(), new SplittableRandom(set.seed() ^ e.server()).nextLong());
        s.listedUs = now;
        servers.put(s.id, s);
        // What started since we run and was never out nobody can have withdrawn; yet ids return,
        // and
        // one that we forgot may be shut out still.
        boolean fresh = started && e.startedUs() > startUs && !forgot;
        doubt(s, fresh ? 0 : form != ListUpdateKind.CACHED || e.startedUs() > 0 ? 2 : 1);
      } else if (e.startedUs() != s.startedUs && e.lifecycle() == Lifecycle.READY) {
        s.forget();
        s.listedUs = now;
        restarts = true;
        doubt(s, 2);
      }
      s.zone = Math.min(e.zone(), zones - 1);
      s.listed = e.weight() > 0 ? e.weight() : 1;
      s.startedUs = e.startedUs();
      state(now, s, e.lifecycle());
    }
    servers.values().stream()
        .filter(s -> form != ListUpdateKind.DELTA && !named.contains(s.id))
        .forEach(s -> state(now, s, Lifecycle.REMOVED));
  }

  /**
   * A draining or gone server is withdrawn at once; one that is ready again is let in and is cold.
   */
  private void state(long now, Server s, Lifecycle state) {
    s.state = state;
    if (s.out != (state != Lifecycle.READY)) {
      s.out = !s.out;
      s.outUs = now;
      doubt(s, 2);
      if (!(s.out ? returns : withdrawals).remove(s.id)) {
        (s.out ? withdrawals : returns).add(s.id);
      }
    }
  }

  private void doubt(Server s, int which) {
    if (which > s.doubt) {
      to.suspectEjection(s.id, which > 1);
    }
    s.doubt = Math.max(s.doubt, which);
  }

  private boolean serving(Server s) {
    return s.state == Lifecycle.READY;
  }

  // Proxies.

  @Override
  public void onProxyJoined(long now, int proxy, int zone, double perS, boolean onlyStanding) {
    ProxyState p = new ProxyState(Math.min(zone, zones - 1), !onlyStanding, level.length, now);
    Arrays.fill(p.perS, Math.max(0, perS) / Math.max(1, level.length));
    rescope |= !tables.containsKey(p.zone);
    table(p.zone).usedUs = now;
    // A zone that comes into scope begins as if it had been there before: evenly at a start.
    if (started && table(p.zone).planned.isEmpty()) {
      weigh(p.zone);
      lines(Map.of(p.zone, table(p.zone)));
      deal();
    }
    proxies.put(proxy, p);
    p.sure = onlyStanding || (started && now - startUs > HELD_OLD * set.limits().drainGraceUs());
    if (p.sure) {
      to.confirmProxy(proxy);
    }
    restarts |= heardPasses == 0;
    if (p.holds && heldUs == 0 && !settled) {
      heldUs = now;
      to.setTimer((long) (HELD_BY * set.limits().drainGraceUs()), SEND);
    }
  }

  @Override
  public void onProxyLeft(long now, int proxy) {
    proxies.remove(proxy);
  }

  @Override
  public void onAcknowledgement(long now, int proxy, int number, long tookUs) {
    // Messages leave the channel one after the other: what was ordered before this one has left it
    // too.
    replies.stream()
        .filter(r -> r.mark == number && r.lines.containsKey(proxy))
        .forEach(
            r -> {
              r.told[0] += r.lines.remove(proxy) + set.channel().messageOverheadLines() + 1;
              gone = Math.max(gone, r.before + r.told[0]);
              paceFrom(r.waiting, tookUs);
            });
  }

  /** An answer later than the longest way allows tells a channel slower than stated. */
  private void paceFrom(double ahead, long tookUs) {
    double statedUs = ahead / set.channel().linesPerSecond() * 1e6;
    double spareUs = tookUs - set.channel().maxPushDelayUs();
    if (spareUs > statedUs / pace) {
      pace = Math.max(0.05, Math.max(pace * 0.5, statedUs / spareUs));
    } else if (tookUs < set.channel().maxPushDelayUs() + statedUs) {
      pace = Math.min(1, pace * 1.1);
    }
  }

  // What an earlier process of this instance ordered, where it was kept.

  /**
   * Its tables, levels and retries stay in force until reports tell otherwise: the first passes
   * know nothing. Guards against even weights, lifted levels and repeats after a crash in a jam.
   */
  @Override
  public void onTableRestored(
      long now,
      int number,
      Map<Long, Double> weights,
      double[] levels,
      int[] retries,
      int lastMark) {
    if (number >= zones) {
      return;
    }
    ZoneTable table = table(number);
    table.usedUs = now;
    weights.keySet().stream()
        .filter(servers::containsKey)
        .forEach(id -> table.sent.put(id, weights.get(id)));
    List<Server> listed =
        table.sent.keySet().stream().map(servers::get).filter(this::serving).toList();
    double sum = total(listed, s -> table.sent.get(s.id));
    listed.forEach(s -> table.planned.put(s.id, table.sent.get(s.id) / sum));
    List<Server> own = listed.stream().filter(s -> s.zone == number).toList();
    double mean = total(own, s -> 1 / table.planned.get(s.id)) / Math.max(1, own.size());
    own.forEach(
        s ->
            s.guess =
                Math.max(1 / GUESS_MOST, Math.min(GUESS_MOST, 1 / table.planned.get(s.id) / mean)));
    kept |= !listed.isEmpty();
    mark = lastMark;
    for (int k = 0; k < level.length; k++) {
      if (retries[k] >= 0) {
        table.level[k] = levels[k];
        table.retry[k] = retries[k];
        table.ordered |= 1 << k;
        level[k] = Math.min(level[k], levels[k]);
        over |= retries[k] == 0;
      }
    }
  }

  @Override
  public void onTableHeld(long now, int proxy, int table, int lacks) {
    ProxyState p = proxies.get(proxy);
    p.lacks = table == p.zone && !table(table).sent.isEmpty() ? lacks : -1;
  }

  // Reports.

  @Override
  public void onLoadReport(
      long now,
      long server,
      int zone,
      long tries,
      long failed,
      long spanUs,
      long meanUs,
      float[] load,
      long ageUs) {
    Server s = servers.get(server);
    if (s == null || zone >= zones || tries <= 0) {
      return;
    }
    double old = Math.max(0, spanUs - set.controlPeriodUs()) / 2.0 + ageUs;
    double part = Math.pow(0.5, old / (HALF_PERIODS * set.controlPeriodUs()));
    AttemptStats t = s.tallies.fresh(tables.containsKey(zone) ? zone : ZoneAttemptStats.ELSEWHERE);
    long bad = Math.min(failed, tries);
    t.good += part * (tries - bad);
    t.sumUs += part * (tries - bad) * meanUs;
    t.bad += part * bad;
    tried += settled ? 0 : tries;
    reports = true;
  }

  @Override
  public void onUsageReport(
      long now, int proxy, int grade, long requests, long failed, long spanUs) {
    ProxyState p = proxies.get(proxy);
    if (p == null || grade >= p.perS.length || spanUs <= 0) {
      return;
    }
    double keep = Math.pow(0.5, spanUs / (HALF_PERIODS * set.controlPeriodUs()));
    // No request, no line: what a later one leaves open was idle or lost, not late.
    double gap = p.coveredUs[grade] > 0 ? now - p.heardUs[grade] - spanUs : 0;
    p.coveredUs[grade] += spanUs + (gap > set.controlPeriodUs() / 2.0 ? gap : 0);
    p.heardUs[grade] = now;
    asked += settled ? 0 : requests;
    p.perS[grade] = keep * p.perS[grade] + (1 - keep) * requests * 1e6 / spanUs;
  }

  @Override
  public void onHealthCheckResult(
      long now, long server, HealthCheckResult end, long tookUs, float[] load) {
    int at = servers.containsKey(server) ? set.loadMetrics().indexOf(LoadMetric.UTILIZATION) : -1;
    if (end == HealthCheckResult.OK
        && at >= 0
        && at < load.length
        && serving(servers.get(server))) {
      busySum += Math.max(0, Math.min(1, load[at]));
      busyN++;
    }
  }

  @Override
  public void onTimer(long now, long token) {
    if (token == PASS) {
      // Timers are not revocable: those of passes that came early would else add up, one each.
      passDue |= now >= passUs;
    } else if (token == WATCH && !watching) {
      to.watchEndpoints(true);
    } else if (token == SEND) {
      sendAgain = false;
    }
  }

  @Override
  public void onBatchEnd(long now) {
    if (set.slices() > 0) {
      return;
    }
    if (!started) {
      started = true;
      waitingUs = now;
      plannedUs = now;
      startUs = now;
      watching = !set.endpointListOnRequest();
      if (!watching) {
        to.watchEndpoints(true);
      }
      plan(now);
    }
    // Never bare: when the last listed server has left, or the first came, no period is waited for.
    restarts |=
        !tables.isEmpty()
            && up.stream().noneMatch(s -> s.share > 0 && serving(s))
            && servers.values().stream().anyMatch(this::serving);
    long since = now - plannedUs;
    if (passDue || (reports && since >= EARLY * set.controlPeriodUs())) {
      if (reports || since >= LATEST * set.controlPeriodUs()) {
        plan(now);
      } else {
        pass(now, (long) (LATEST * set.controlPeriodUs()) - since);
      }
    }
    if (restarts) {
      reported = false;
      tables(now);
    }
    send(now);
  }

  // The period's pass.

  private void pass(long now, long delayUs) {
    passDue = false;
    passUs = now + delayUs;
    to.setTimer(delayUs, PASS);
  }

  private void plan(long now) {
    pass(now, set.controlPeriodUs());
    double keep = Math.pow(0.5, (now - plannedUs) / (HALF_PERIODS * set.controlPeriodUs()));
    plannedUs = now;
    reported = reports;
    reports = false;
    // Where lines come in turn a period's own may be of few servers: a turn's tell of the fleet.
    double own = total(up, s -> s.tallies.sumFresh(t -> t.good + t.bad));
    period.scale(Math.min(1 - set.controlPeriodUs() / turnUs(), POOL_TRIES / Math.max(1, own)));
    for (Server s : servers.values()) {
      if (s.tallies.isEmpty()) {
        continue;
      }
      if (serving(s) && !s.ill) {
        s.tallies.addFreshTo(period);
      }
      s.tallies.endPeriod(reported ? keep : 1);
      s.tallies.scalePast(Math.min(1, BAD_MOST / Math.max(1, s.bad())));
      s.tallies.releaseFaded(!s.scoped, 1);
    }
    // A jam grows while reports travel: a fall goes on for a period, a rise counts one period late.
    double part = period.good / Math.max(1, period.good + period.bad);
    outlook = part < lastGood ? Math.max(0, 2 * part - lastGood) : lastGood;
    lastGood = part;
    release(now);
    scope();
    settle(now);
    ask(now);
    pressure(now);
    tables(now);
    if (settled || !kept) {
      levels();
    }
    servers.values().removeIf(s -> forgotten(now, s));
  }

  /**
   * Long gone, and in no table: over days every server is replaced, and each would stay for good.
   */
  private boolean forgotten(long now, Server s) {
    boolean out =
        s.state == Lifecycle.REMOVED
            && now - s.outUs > FORGET * set.limits().drainGraceUs()
            && !withdrawals.contains(s.id)
            && !isSent(s.id);
    if (out) {
      tables.values().forEach(t -> t.waits.remove(s.id));
      to.forgetServer(s.id);
      forgot = true;
    }
    return out;
  }

  /** All tables by what is known: once a period, and at once when the list tells of a restart. */
  private void tables(long now) {
    restarts = false;
    moved = true;
    scope();
    judge(now);
    zonesInScope().forEach(this::weigh);
    deal();
  }

  private ZoneTable table(int number) {
    return tables.computeIfAbsent(
        number, n -> new ZoneTable(level.length, full, set.defaultRetry()));
  }

  private Stream<Integer> zonesInScope() {
    return tables.headMap(zones).keySet().stream();
  }

  /**
   * Lets go of the tables of zones without a proxy here for long; what they told counts as
   * elsewhere's.
   */
  private void release(long now) {
    proxies.values().forEach(p -> table(p.zone).usedUs = now);
    tables.keySet().stream()
        .filter(t -> now - table(t % zones).usedUs > FORGET * set.limits().drainGraceUs())
        .toList()
        .forEach(
            t -> {
              tables.remove(t);
              to.clearTable(t);
              servers.values().forEach(s -> s.tallies.merge(t));
              rescope = true;
            });
  }

  /**
   * The servers that tables may list: all that serve, or as many as a bind can carry (a line may
   * come with a word), by a rank that each assigner draws anew: first of zones with proxies here,
   * in equal parts, then of all. Guards against tables so long that no proxy is ever bound.
   */
  private void scope() {
    if (!rescope) {
      return;
    }
    rescope = false;
    up.clear();
    servers.values().stream().filter(this::serving).forEach(up::add);
    if (up.size() > mostListed) {
      up.sort(Comparator.comparingLong(s -> s.rank));
      long each = (long) (SCOPE_OWN * mostListed / Math.max(1, zonesInScope().count()));
      Stream<Server> own =
          zonesInScope().flatMap(z -> up.stream().filter(s -> s.zone == z).limit(each));
      up.retainAll(Stream.concat(own, up.stream()).distinct().limit(mostListed).collect(toSet()));
    }
    servers.values().forEach(s -> s.scoped = false);
    up.forEach(s -> s.scoped = true);
  }

  private boolean isSent(long id) {
    return tables.values().stream().anyMatch(t -> t.sent.containsKey(id));
  }

  /** Whether a line of that server would make a table too long: ends of lines go first then. */
  private boolean full(ZoneTable table, long id) {
    return !table.sent.containsKey(id) && table.sent.size() >= mostListed;
  }

  /**
   * Starting over: proxies that hold an earlier stream's tables keep them until this instance has
   * heard of the fleet, and the levels they hold are read off what was tried of what came, if those
   * passes hold a whole turn. Guards against a flood after a crash in a jam. Could leave a proxy on
   * an outdated table.
   */
  private void settle(long now) {
    heardPasses += reported ? 1 : 0;
    boolean old = proxies.values().stream().anyMatch(p -> p.holds);
    if (settled
        || (old
            && heardPasses < SETTLE_PASSES
            && now - startUs < SETTLE_MOST * set.controlPeriodUs())) {
      return;
    }
    settled = heardPasses > 0 || old;
    if (old && asked > 0 && turnUs() <= SETTLE_PASSES * set.controlPeriodUs()) {
      let = Math.max(LEVEL_LEAST, Math.min(1, tried / asked));
      over = let < SETTLE_FULL;
      let = over ? let : 1;
    }
  }

  /**
   * Where more lines fall due than the intake lets through, each comes in turn and covers more
   * time.
   */
  private double turnUs() {
    double due = zonesInScope().count() * up.size() + (long) level.length * proxies.size();
    return Math.max((double) set.controlPeriodUs(), due / set.maxReportsPerSecond() * 1e6);
  }

  /**
   * How far behind the reports are: the time since proxies joined that none has covered, for the
   * best quarter of those that reported, or of all. Idle, silent and spoilt ones fall behind alone.
   */
  private double lagUs(long now) {
    boolean any = proxies.values().stream().anyMatch(ProxyState::reported);
    double[] lags =
        proxies.values().stream()
            .filter(p -> p.reported() || !any)
            .mapToDouble(
                p -> Math.max(0, now - p.joinedUs - Arrays.stream(p.coveredUs).max().orElse(0)))
            .sorted()
            .toArray();
    return lags.length == 0 ? 0 : lags[lags.length / 4];
  }

  /**
   * Each server's average time and share of failures, and how ill it is beside the fleet's median.
   */
  private void judge(long now) {
    double sum = total(up, s -> s.sum(t -> t.sumUs)) + FIRST_GUESS * aimUs;
    double average = sum / (total(up, Server::good) + 1);
    for (Server s : up) {
      s.meanUs = (s.sum(t -> t.sumUs) + PRIOR_TRIES * average * s.guess) / (s.good() + PRIOR_TRIES);
      s.failShare = s.bad() / (s.good() + s.bad() + FAIL_PRIOR);
      double age = age(now, s);
      double known =
          s.startedUs == 0
              ? 1
              : (now - s.listedUs) / Math.max(1.0, (double) set.limits().slowStartUs());
      s.ready = ramp(set.limits().slowStartCapacity(), age, age);
      s.climb = ramp(COLD_FIRST, age, known);
    }
    double fail = median(up, s -> s.failShare);
    // The cut is the share of good answers beside the median, to a power more while most are well.
    double power = 1 + Math.max(0, 1 - fail / OVER_FAILED);
    for (Server s : up) {
      double excess = Math.max(0, Math.min(1, s.failShare - fail));
      s.factor = Math.max(ILL_LEAST, Math.pow(1 - excess, power));
      if ((s.factor < ILL_UNDER && !s.ill) || (s.factor > WELL_OVER && s.ill)) {
        s.ill = !s.ill;
        to.log("server " + Long.toHexString(s.id) + (s.ill ? " ill" : " well"));
      }
    }
  }

  /**
   * Asks warm servers in turn how busy they are, which reports tell a turn late; all instances ask
   * one about once a period. What servers that leave had counts to those that stay before these can
   * say so. Guards against a jam that is built while nobody hears of it.
   */
  private void ask(long now) {
    List<Server> warm = up.stream().filter(s -> age(now, s) >= 1).toList();
    double left = total(warm, s -> s.listed);
    busySum *= BUSY_KEEP * Math.max(1, warmth / Math.max(1, left));
    busyN *= BUSY_KEEP;
    warmth = left;
    boolean may =
        set.healthChecksEnabled()
            && set.loadReportSource() != LoadReportSource.NONE
            && set.loadMetrics().contains(LoadMetric.UTILIZATION);
    for (int k = 0; may && k * k < warm.size() && k * set.instances() < warm.size(); k++) {
      to.checkHealth(warm.get(Math.floorMod(asks++, warm.size())).id);
    }
  }

  /**
   * Lowers what is let in while the fleet, ill servers aside, is busy, fails or is late, and raises
   * it as soon as it no longer is: older evidence would hold levels down long after a jam. Guards
   * against crowds, lost capacity and repeats that feed a jam. Could refuse needlessly when reports
   * lie.
   */
  private void pressure(long now) {
    if (!reported) {
      return;
    }
    double failed = period.bad / Math.max(1, period.good + period.bad);
    double late = period.sumUs / Math.max(1, period.good) / aimUs;
    quick =
        heardPasses < SETTLE_PASSES || period.good < 1 ? quick : Math.min(quick * QUICK_GROW, late);
    boolean slower = late > OVER_SLOWER * quick || period.good < 1;
    boolean jammed = (failed > OVER_FAILED && slower) || late > OVER_AIMS;
    boolean calm = (failed < CALM_SHARE * OVER_FAILED || !slower) && late < CALM_SHARE * OVER_AIMS;
    double shows = turnUs();
    double cut = Math.max(slower ? failed : 0, late - OVER_AIMS);
    boolean better = cut < LEVEL_BETTER * lastCut;
    double grow = let < LEVEL_NEAR * ceiling ? LEVEL_GROW : LEVEL_CREEP;
    lastCut = cut;
    if (busyN >= BUSY_LEAST) {
      // Servers tell at once; reports go on for a turn saying what was.
      double busy = busySum / busyN;
      cut = Math.max(busy > BUSY_OVER ? cut : 0, 1 - BUSY_AIM / busy);
      jammed = busy > BUSY_OVER || (jammed && busy > BUSY_AIM);
      calm = busy < BUSY_AIM;
      better = false;
      grow = Math.min(LEVEL_GROW, Math.cbrt(BUSY_AIM / busy));
      shows =
          set.controlPeriodUs()
              + waiting / set.channel().linesPerSecond() / pace * 1e6 / LEVEL_WAIT;
    }
    boolean shown = now - cutUs >= LEVEL_WAIT * (shows + aimUs) + set.channel().maxPushDelayUs();
    if (jammed && shown && !better) {
      cutUs = now;
      ceiling = let;
    }
    // The worst that is heard before a cut can show is how it was when the cut was made.
    if (jammed && (!shown || cutUs == now)) {
      let = Math.min(let, Math.max(LEVEL_LEAST, ceiling * Math.max(LEVEL_CUT, 1 - cut)));
    } else if (calm) {
      let = Math.min(1, let * grow);
    }
    if (over != jammed && (jammed || let >= 1)) {
      over = jammed;
      to.log(over ? "overload" : "overload over");
    }
  }

  /** Its age in ramps; 1: warm, whatever was climbed. */
  private double age(long now, Server s) {
    return s.startedUs == 0
        ? 1
        : (now - s.startedUs) / Math.max(1.0, (double) set.limits().slowStartUs());
  }

  /** Evenly from a first part to the full over the ramp; age 1: warm whatever was climbed. */
  private static double ramp(double first, double age, double climbed) {
    return age >= 1 ? 1 : first + (1 - first) * Math.max(0, Math.min(age, climbed));
  }

  /** Zone z's table: weight inverse to d + p, an ill or cold server's cut, all moves bounded. */
  private void weigh(int z) {
    ZoneTable table = tables.get(z);
    double largest = up.stream().mapToDouble(s -> s.meanUs).max().orElse(0) * FAILURE_TIMES;
    boolean silent = total(up, Server::good) < 1 && !table.planned.isEmpty();
    double speed = 0;
    double warm = 0;
    for (Server s : up) {
      AttemptStats t = s.tallies.past(z);
      double bad = s.bad();
      double good = s.good() + PRIOR_TRIES;
      double pooled = (s.meanUs * good + bad * largest) / (good + bad);
      s.time = (t.sumUs + t.bad * largest + POOL_TRIES * pooled) / (t.good + t.bad + POOL_TRIES);
      s.scale = s.factor * s.climb * s.listed;
      speed += s.climb < 1 ? 0 : s.factor * s.listed / s.time;
      warm += s.climb < 1 ? 0 : s.listed;
    }
    for (Server s : up) {
      s.time = s.climb < 1 && warm > 0 ? Math.max(warm / speed, s.time) : s.time;
    }
    double d = distance(z);
    double all = total(up, s -> pull(s, z, d));
    for (Server s : up) {
      s.share = pull(s, z, d) / all;
      Double last = table.planned.get(s.id);
      if (last != null && s.climb >= 1 && (heardPasses > 0 || kept)) {
        double most = Math.max(last * GROW, BACK_SHARE / up.size());
        double least = s.factor > 0.5 ? last * SHRINK : 0;
        s.share = silent ? last : Math.max(least, Math.min(most, s.share));
      }
    }
    double sum = total(up, s -> s.share);
    up.forEach(s -> s.share /= sum);
    budget();
    table.planned.clear();
    up.stream().filter(s -> s.share > 0).forEach(s -> table.planned.put(s.id, s.share));
  }

  private static double pull(Server s, int z, double d) {
    return s.scale / (s.time + (s.zone == z ? 0 : d));
  }

  /**
   * The distance d to other zones' servers that keeps the wanted part of zone z's requests at home:
   * crossing costs points. That part grows while the own servers do as well as the others and falls
   * when they do worse, and never passes what the zone can hold of the whole.
   */
  private double distance(int z) {
    ZoneTable table = tables.get(z);
    List<Server> own = up.stream().filter(s -> s.zone == z).toList();
    List<Server> far = up.stream().filter(s -> s.zone != z).toList();
    if (own.isEmpty() || far.isEmpty() || set.costs().crossZone() <= 0) {
      return 0;
    }
    if (heardPasses == 0) {
      long few = Math.min(own.size(), proxies.values().stream().filter(p -> p.zone == z).count());
      table.home = Math.max(0, 1 - Math.pow(HOME_FEW / Math.max(1, few), 2));
    } else if (table.planned.isEmpty()) {
      table.home = tables.values().stream().mapToDouble(t -> t.home).max().orElse(0);
    }
    double ownTime = total(own, s -> s.scale * s.time) / total(own, s -> s.scale);
    double worse = ownTime / (total(far, s -> s.scale * s.time) / total(far, s -> s.scale));
    if (worse > HOME_WORSE && reported) {
      table.home *= HOME_SHRINK;
    } else if (worse < HOME_CALM && reported && ownTime < HOME_AIMS * aimUs) {
      table.home = Math.min(1, table.home + HOME_GROW);
    }
    ToDoubleFunction<ProxyState> perS = p -> heardPasses == 0 ? 1 : Arrays.stream(p.perS).sum();
    double all = proxies.values().stream().mapToDouble(perS).sum();
    double here = proxies.values().stream().filter(p -> p.zone == z).mapToDouble(perS).sum();
    // Where zones join apart, proxies elsewhere are taken to bring as much each.
    all *=
        set.siteTraits() != null && set.siteTraits().proxiesJoinInOwnZone()
            ? 1.0 * set.proxies() / proxies.size()
            : 1;
    double even = total(own, s -> pull(s, z, 0)) / total(up, s -> pull(s, z, 0));
    double holds = here <= 0 ? 1 : even * all / here;
    double want = even + table.home * (Math.min(HOME_MOST, holds) - even);
    want = over && set.admissionMode() == AdmissionMode.NONE ? HOME_MOST : want;
    double left = total(own, s -> pull(s, z, 0)) * (1 - want) / want;
    double d = 0;
    for (int i = 0; i < 8 && want > even; i++) {
      double at = d;
      double sum = total(far, s -> pull(s, z, at));
      d += (sum - left) / total(far, s -> pull(s, z, at) / (s.time + at));
    }
    return d;
  }

  /**
   * Cold servers get no more requests than a part of what rule 4 allows at their present capacity,
   * taken from what warm servers answer well: in a jam at most their capacity, in calm less. Could
   * starve cold servers when the load is low, where it costs nothing.
   */
  private void budget() {
    List<Server> warm = up.stream().filter(s -> s.ready >= 1).toList();
    double good = total(warm, Server::good);
    double well = lagUs(plannedUs) > STALE_PERIODS * turnUs() ? 0 : outlook;
    if (well < SHY_GOOD) {
      shy();
    }
    if (warm.isEmpty() || good <= 0) {
      return;
    }
    double each =
        good / warm.size() / total(up, s -> s.good() + s.bad()) * Math.pow(well, COLD_JAM);
    double cut = 0;
    for (Server s : up) {
      double most =
          s.ready < 1
              ? COLD_BUDGET * set.limits().recoveryOverloadFactor() * each * s.ready
              : s.share;
      cut += Math.max(0, s.share - most);
      s.share = Math.min(s.share, most);
    }
    double more = 1 + cut / total(warm, s -> s.share);
    warm.forEach(s -> s.share *= more);
  }

  /**
   * While most tries fail, or nothing was heard yet, the coldest servers are left out as long as
   * the others hold a good part of what is ready: proxies that avoid every failing server would
   * else bring a cold one all, whatever its weight. It costs most when a fleet grows in a jam.
   */
  private void shy() {
    List<Server> order = up.stream().sorted(Comparator.comparingDouble(s -> -s.ready)).toList();
    double all = total(up, s -> s.ready);
    double held = 0;
    for (Server s : order) {
      if (s.ready < 1 && held >= SHY_REST * all) {
        s.share = 0;
      }
      held += s.ready;
    }
  }

  /** Under overload the classes of least worth are let in less, one after the other. */
  private void levels() {
    int n = level.length;
    double[] perS = new double[n];
    Arrays.setAll(perS, k -> proxies.values().stream().mapToDouble(p -> p.perS[k]).sum());
    List<Integer> order =
        IntStream.range(0, n)
            .boxed()
            .sorted(Comparator.comparingDouble(k -> set.requestClasses().get(k).priorityWeight()))
            .toList();
    double shed = (1 - let) * Arrays.stream(perS).sum();
    for (int k : order) {
      double cut = Math.min(shed, (1 - CLASS_LEAST) * perS[k]);
      shed -= cut;
      double share = perS[k] <= 0 ? 1 : 1 - cut / perS[k];
      level[k] =
          set.admissionMode() == AdmissionMode.RATE
              ? share >= 1 ? NO_LIMIT : rate(k, share * perS[k])
              : share;
    }
  }

  /** The rate at each proxy that lets in so many requests of a class in all. */
  private double rate(int grade, double total) {
    List<Double> each = proxies.values().stream().map(p -> p.perS[grade]).sorted().toList();
    double left = total;
    for (int i = 0; i < each.size(); i++) {
      double even = left / (each.size() - i);
      if (each.get(i) >= even) {
        return even;
      }
      left -= each.get(i);
    }
    return NO_LIMIT;
  }

  /**
   * Proxies try again after proof that the first try never ran, which is safe for every class. In a
   * jam they don't: repeats of what full servers turn away feed it and crowd onto the coldest
   * servers.
   */
  private int retry() {
    return over ? 0 : 1;
  }

  // The channel.

  /**
   * All orders go out here, counted: withdrawals, oldest first, levels, servers let in again,
   * binds, and weights by what moved most. What finds no room under its share of the backlog is
   * tried again soon.
   */
  private void send(long now) {
    ChannelSettings c = set.channel();
    waiting = Math.max(0, waiting - (now - waitingUs) / 1e6 * c.linesPerSecond() * pace);
    slow = Math.max(0, slow - (now - waitingUs) / 1e6 * c.linesPerSecond() * pace * SLOWEST);
    waitingUs = now;
    lines = new TreeMap<>();
    // Answers may all be lost: in the end nothing can be out.
    gone = slow == 0 ? ordered : gone;
    replies.removeIf(r -> r.after <= gone);
    double before = ordered;
    proxies.values().forEach(p -> p.messages.removeIf(t -> now - t >= c.messageWindowUs()));
    // Who holds its table by what was kept is bound at once, and gets what it lacks; later, the
    // whole.
    proxies.forEach(
        (id, p) -> {
          if (!p.bound
              && p.lacks >= 0
              && (p.lacks == 0 || take(List.of(id), p.lacks, QUEUE_SOON))) {
            follow(id, p, p.zone);
          }
          p.lacks = -1;
        });
    tables.values().forEach(t -> t.users.clear());
    proxies.forEach((id, p) -> table(p.table).users.addAll(p.follows ? List.of(id) : List.of()));
    // Who waits for the first passes hears what is withdrawn, and all of it in a round. Words that
    // would
    // hold up the binds behind them past their time do not go: they are bound at once.
    if (heldUs > 0 && !settled) {
      boolean round = now - heldUs >= HELD_BY * set.limits().drainGraceUs();
      List<Long> out =
          servers.values().stream()
              .filter(s -> s.out)
              .map(s -> s.id)
              .filter(id -> round || withdrawals.contains(id))
              .toList();
      settled = oldest(p -> !p.bound).size() * told(out.size()) > most(QUEUE_CALM);
      withdrawals.addAll(settled ? List.of() : out);
      heldUs = round ? 0 : heldUs;
    }
    surge(now);
    // A surge's binds take it off what drains: they go first, with the same room.
    boolean all = !surge || binds();
    // Behind a queue they gather till they outweigh their heads, and nothing else goes meanwhile.
    // Few
    // that would come too late so go as soon as they fit: they are what a full queue left of many.
    boolean many = withdrawals.size() > c.messageOverheadLines();
    double bound =
        tables.values().stream()
            .mapToDouble(
                t ->
                    t.users.size() * told(withdrawals.stream().filter(t.sent::containsKey).count()))
            .sum();
    double cost = bound + told(withdrawals.size()) * (surge ? 0 : oldest(p -> !p.follows).size());
    double goneUs =
        withdrawals.isEmpty() ? 0 : now - servers.get(withdrawals.iterator().next()).outUs;
    boolean late = waiting + cost + goneUs / 1e6 * c.linesPerSecond() > QUEUE_SOON * graceLines();
    boolean go =
        waiting
                <= c.maxBacklogLines()
                    * (many && cost > (QUEUE_MOST - QUEUE_FEW) * c.maxBacklogLines()
                        ? QUEUE_CALM
                        : QUEUE_FEW)
            || ((many || late) && fits(cost, QUEUE_MOST));
    withdrawals.removeIf(id -> go && withdraw(id));
    // Beside a join surge words that would come too late cost more than a subset, which needs none.
    if (late && subsets > 0 && withdrawals.size() > 1 + up.size() / subsets) {
      proxies.values().stream().filter(p -> p.table < zones).forEach(p -> p.bound = false);
    }
    all &= withdrawals.isEmpty() && others();
    if (!all && !sendAgain) {
      sendAgain = true;
      to.setTimer((long) (SEND_AGAIN * set.controlPeriodUs()), SEND);
    }
    if (!lines.isEmpty()) {
      mark = mark % 65000 + 1;
      to.requestAck(mark, false);
      replies.add(new Reply(mark, before, ordered, waiting, lines, new double[1]));
      lines.keySet().forEach(id -> proxies.get(id).messages.add(now));
    }
  }

  /** So little waits that a message up to the calm share is worth its heads. */
  private boolean few() {
    return waiting < QUEUE_LINES * most(QUEUE_CALM) / QUEUE_CALM;
  }

  private boolean others() {
    // Levels pay the heads of their messages: weights go along, or in a jam they would never find
    // room.
    boolean few = few();
    tables.forEach(this::admit);
    boolean room = !lines.isEmpty() || few();
    few &= !lines.isEmpty();
    returns.removeIf(id -> room && back(servers.get(id)));
    boolean all = binds() && returns.isEmpty();
    // Who is bound to a subset gets its zone's table as the channel has room, in turn with weights.
    if (subsets > 0 && !surge && few()) {
      promotes = !promotes;
      all &=
          promotes
              && oldest(p -> p.table >= zones).stream()
                  .filter(id -> !capped(List.of(id)))
                  .allMatch(id -> bind(id, -1));
    }
    if (moved && (few || few())) {
      moved = !lines(tables);
    }
    return all && !moved;
  }

  /**
   * Oldest first: who holds others' tables hears by its bind what is out, and on sockets what is
   * back.
   */
  private boolean binds() {
    return oldest(p -> !p.bound && (settled || !p.holds)).stream()
        .map(id -> bind(id, surge ? subset(proxies.get(id).zone) : -1))
        .reduce(true, (a, b) -> a && b);
  }

  private List<Integer> oldest(Predicate<ProxyState> which) {
    return proxies.keySet().stream()
        .filter(id -> which.test(proxies.get(id)))
        .sorted(Comparator.comparingLong(id -> proxies.get(id).joinedUs))
        .toList();
  }

  /** Binds a proxy to a subset's table, or (-1) to its zone's. */
  private boolean bind(int id, int subset) {
    ProxyState p = proxies.get(id);
    int number = subset < 0 ? p.zone : subset;
    ZoneTable table = table(number);
    if (table.planned.isEmpty()) {
      return true;
    }
    if (table.sent.isEmpty() || (number >= zones && table.users.isEmpty())) {
      lines(Map.of(number, table));
    }
    boolean fits =
        take(
            List.of(id),
            whole(table.sent.keySet(), p) + Integer.bitCount(table.ordered),
            p.bound ? QUEUE_CALM : surge ? QUEUE_MOST : QUEUE_SOON);
    if (fits) {
      table.users.addAll(number < zones ? List.of() : List.of(id));
      follow(id, p, number);
    }
    return fits;
  }

  private void follow(int id, ProxyState p, int number) {
    p.bound = true;
    p.follows = true;
    p.table = number;
    to.bindProxy(id, number, 0);
  }

  /** Lines of a bind to these servers: itself, each, and the words that they are back. */
  private double whole(Collection<Long> ids, ProxyState p) {
    return 1
        + ids.size()
        + ids.stream().filter(id -> servers.get(id).doubt > (p.sure ? 1 : 0)).count();
  }

  /**
   * Joiners that hold tables are a join surge once whole ones for all can't arrive before the grace
   * of the oldest ends: each is bound to a subset of the fleet first. Guards against old tables
   * that name drained servers for many seconds when hundreds of proxies come at once. It ends as
   * all are bound.
   */
  private void surge(long now) {
    ChannelSettings c = set.channel();
    up.removeIf(s -> !serving(s));
    List<Integer> free = oldest(p -> !p.bound && settled && (p.holds || subsets > 0));
    double gone =
        free.isEmpty() ? 0 : (now - proxies.get(free.get(0)).joinedUs) / 1e6 * c.linesPerSecond();
    double sure = up.stream().filter(s -> s.doubt > 1).count();
    double unsure = up.stream().filter(s -> s.doubt > 0).count();
    double whole =
        free.stream().mapToDouble(id -> proxies.get(id).sure ? sure : unsure).sum()
            + free.size() * (c.messageOverheadLines() + 2 + up.size());
    surge = !free.isEmpty() && (surge || waiting + whole > QUEUE_SOON * (graceLines() - gone));
    if (surge && subsets == 0 && !up.isEmpty()) {
      // So small that all proxies of the tier take half of what arrives in time; drains have the
      // rest.
      double each =
          QUEUE_CALM * graceLines() / set.proxies() - c.messageOverheadLines() - 2 - level.length;
      subsets = (int) Math.ceil(up.size() / Math.max(c.messageOverheadLines() / 2, each / 2));
      deal();
    } else if (subsets > 0 && !surge && proxies.values().stream().allMatch(p -> p.table < zones)) {
      tables.tailMap(zones).keySet().forEach(to::clearTable);
      tables.tailMap(zones).clear();
      servers.values().forEach(s -> s.subset = 0);
      subsets = 0;
    }
  }

  /** Deals warm servers to the subsets, evenly from each zone; a subset that lost most is left. */
  private void deal() {
    if (subsets == 0) {
      return;
    }
    int[][] dealt = new int[zones][subsets + 1];
    List<Server> warm = up.stream().filter(s -> s.ready >= 1 && serving(s)).toList();
    warm.forEach(s -> dealt[s.zone][s.subset]++);
    for (Server s : warm) {
      int[] here = dealt[s.zone];
      s.subset =
          s.subset > 0
              ? s.subset
              : IntStream.rangeClosed(1, subsets)
                  .boxed()
                  .min(Comparator.comparingInt(k -> here[k]))
                  .get();
      here[s.subset]++;
    }
    zonesInScope()
        .toList()
        .forEach(
            z ->
                IntStream.rangeClosed(1, subsets)
                    .forEach(
                        k -> {
                          Map<Long, Double> zone = tables.get(z).planned;
                          Map<Long, Double> planned = table(z + k * zones).planned;
                          planned.clear();
                          warm.stream()
                              .filter(s -> s.subset == k && zone.containsKey(s.id))
                              .forEach(s -> planned.put(s.id, zone.get(s.id)));
                          if (2 * planned.size() * subsets < warm.size() || planned.isEmpty()) {
                            proxies.values().stream()
                                .filter(p -> p.table == z + k * zones)
                                .forEach(p -> p.bound = false);
                          }
                        }));
  }

  /** The subset of a zone's tables with the fewest proxies for its servers, or -1. */
  private int subset(int z) {
    long warm = up.stream().filter(s -> s.ready >= 1).count();
    return IntStream.rangeClosed(1, subsets)
        .map(k -> z + k * zones)
        .filter(t -> 2L * table(t).planned.size() * subsets >= warm && !table(t).planned.isEmpty())
        .boxed()
        .min(
            Comparator.comparingDouble(
                t -> (table(t).users.size() + 1.0) / table(t).planned.size()))
        .orElse(-1);
  }

  /** Lines of a message that says so much. */
  private double told(long what) {
    return what == 0 ? 0 : what + set.channel().messageOverheadLines() + 1;
  }

  /** Lines that reach proxies within the grace of a drain. */
  private double graceLines() {
    return (set.limits().drainGraceUs() - set.channel().maxPushDelayUs())
        / 1e6
        * set.channel().linesPerSecond();
  }

  /**
   * What may wait of that share: what is not a withdrawal leaves room for what must arrive in the
   * grace if all proxies of the tier come at once while servers drain: a bind to a subset and a
   * word to each.
   */
  private double most(double share) {
    double each = 2.5 * set.channel().messageOverheadLines() + 4 + level.length;
    double calm = Math.max(QUEUE_LEAST, QUEUE_MOST - set.proxies() * each / graceLines());
    double part =
        share == QUEUE_MOST ? share : Math.min(QUEUE_GRACE, share == QUEUE_BACK ? share : calm);
    return Math.min(share * set.channel().maxBacklogLines(), part * graceLines());
  }

  /**
   * A channel may be slower than stated, and answers tell so late: the lines of which none has told
   * that they left it stay under the limit whatever its pace.
   */
  private boolean fits(double cost, double share) {
    return cost <= 0
        || (waiting + cost <= most(share)
            && Math.min(slow, ordered - gone) + cost
                <= QUEUE_OUT * set.channel().maxBacklogLines());
  }

  /** Counts so many lines to each of these proxies, if they fit under a share of the backlog. */
  private boolean take(Collection<Integer> users, double each, double share) {
    double head = set.channel().messageOverheadLines() + 1;
    double cost = users.stream().mapToDouble(id -> each + (lines.containsKey(id) ? 0 : head)).sum();
    if (!fits(cost, share)) {
      return false;
    }
    waiting += cost;
    ordered += cost;
    slow += cost;
    users.forEach(id -> lines.merge(id, each, Double::sum));
    return true;
  }

  /** In a join surge its line goes, table by table: joiners are bound before they need a word. */
  private boolean withdraw(long id) {
    if (surge) {
      tables.forEach(
          (t, table) -> {
            if (table.sent.containsKey(id) && take(table.users, 1, QUEUE_MOST)) {
              line(t, id, 0);
            }
          });
      return !isSent(id);
    }
    boolean fits =
        take(
            proxies.keySet().stream()
                .filter(
                    p ->
                        !proxies.get(p).follows || table(proxies.get(p).table).sent.containsKey(id))
                .toList(),
            1,
            QUEUE_MOST);
    if (fits) {
      to.eject(id);
    }
    return fits;
  }

  /**
   * A server that was out is let in again together with its lines: a cold one would else get the
   * weight that it had. Guards against restarts of many at once. Where no table lists it joiners
   * alone hear.
   */
  private boolean back(Server s) {
    boolean listed = rescope || s.scoped || isSent(s.id);
    boolean fits = take(listed ? proxies.keySet() : oldest(p -> !p.follows), 2, QUEUE_BACK);
    if (fits) {
      tables
          .headMap(zones)
          .forEach(
              (z, table) -> line(z, s.id, scale(table) * table.planned.getOrDefault(s.id, 0.0)));
      to.reinstate(s.id);
    }
    return fits;
  }

  /**
   * Weights are relative: the scale at which most warm lines stand as sent, 1 for a new table. It
   * drifts as servers are replaced, over weeks beyond any number: far from 1 it goes back within
   * the dead band.
   */
  private double scale(ZoneTable table) {
    double[] kept =
        up.stream()
            .filter(
                s ->
                    s.climb >= 1 && table.planned.containsKey(s.id) && table.sent.containsKey(s.id))
            .mapToDouble(s -> table.sent.get(s.id) / table.planned.get(s.id))
            .sorted()
            .toArray();
    int n = kept.length;
    double at = n == 0 ? 1 : kept[n / 2];
    double back = 1 - DEAD_BAND / 2;
    return at > SCALE_FAR ? kept[(n - 1) / 2] * back : at < 1 / SCALE_FAR ? at / back : at;
  }

  private void line(int z, long id, double weight) {
    ZoneTable table = tables.get(z);
    if (weight == table.sent.getOrDefault(id, 0.0) || (weight > 0 && full(table, id))) {
      return;
    }
    to.setWeight(z, id, weight);
    table.waits.remove(id);
    table.sent.compute(id, (k, last) -> weight > 0 ? weight : null);
  }

  /** What can wait does while a proxy of the zone has had half the messages that it may be sent. */
  private boolean capped(Collection<Integer> users) {
    double most = QUEUE_CALM * set.channel().maxMessagesPerProxy();
    return most > 0 && users.stream().anyMatch(u -> proxies.get(u).messages.size() >= most);
  }

  /**
   * One table's levels and retries. Levels belong to tables, not to all at once: so they outlast a
   * crash, where a new instance's first message would lift them.
   */
  private void admit(int z, ZoneTable table) {
    for (int k = 0; k < level.length && !capped(table.users); k++) {
      double value = set.admissionMode() == AdmissionMode.NONE ? 1 : level[k];
      double last = table.level[k];
      boolean moved =
          Math.abs(value - last) > DEAD_BAND * Math.min(value, last)
              || (value != last && (value == 1 || value == NO_LIMIT));
      if ((moved || retry() != table.retry[k]) && take(table.users, 1, QUEUE_SOON)) {
        to.setAdmission(z, 1 << k, value, retry());
        table.level[k] = value;
        table.retry[k] = retry();
        table.ordered |= 1 << k;
      }
    }
  }

  /**
   * A line that moved by more than the dead band; {@code first}: how much it matters that it goes.
   */
  private record Move(int zone, long id, double weight, double first, boolean urgent) {}

  /**
   * The lines past the dead band: cold servers that shrink first, then table by table, for long
   * messages, by the share of requests that moves and how long they waited; those of withdrawn
   * servers last.
   */
  private boolean lines(Map<Integer, ZoneTable> which) {
    List<Move> moves = new ArrayList<>();
    which.forEach(
        (z, table) -> {
          if (capped(table.users)) {
            return;
          }
          LinkedHashSet<Long> ids = new LinkedHashSet<>(table.sent.keySet());
          ids.addAll(table.planned.keySet());
          double scale = scale(table);
          for (long id : ids) {
            Server s = servers.get(id);
            double weight = serving(s) ? scale * table.planned.getOrDefault(id, 0.0) : 0;
            double last = table.sent.getOrDefault(id, 0.0);
            if (weight == last
                || (weight > 0 && Math.abs(weight - last) <= DEAD_BAND * last)
                || returns.contains(id)) {
              continue;
            }
            double waits = serving(s) ? table.waits.merge(id, 1, Integer::sum) : 0;
            double gap = waits * Math.abs(weight - last);
            moves.add(new Move(z, id, weight, gap, serving(s) && s.climb < 1 && weight < last));
          }
        });
    Map<Integer, Double> sum = new TreeMap<>();
    moves.forEach(m -> sum.merge(m.zone(), m.first(), Double::sum));
    moves.sort(
        Comparator.comparing((Move m) -> !m.urgent())
            .thenComparing(m -> -sum.get(m.zone()))
            .thenComparing(m -> -m.first()));
    boolean all = true;
    for (Move m : moves) {
      // On sockets a server new to a table comes with the word that it is back.
      ZoneTable table = tables.get(m.zone());
      boolean word = !table.sent.containsKey(m.id()) && servers.get(m.id()).doubt > 0;
      boolean fits =
          !full(table, m.id())
              && take(table.users, word ? 2 : 1, m.urgent() ? QUEUE_SOON : QUEUE_CALM);
      if (fits) {
        line(m.zone(), m.id(), m.weight());
      }
      all &= fits;
    }
    return all;
  }
}
