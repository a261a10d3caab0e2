package pearusher.policy;

import java.util.Collection;
import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Ejections and reinstatements that wait for publication, oldest first. A server that is not ready
 * is ejected at once; one that is ready again is reinstated. Grows with the servers that changed
 * and are not published yet.
 */
final class EjectionQueue {
  private final PolicyCommands commands;
  private final Set<Long> ejections = new LinkedHashSet<>();
  private final Set<Long> reinstatements = new LinkedHashSet<>();

  EjectionQueue(PolicyCommands commands) {
    this.commands = commands;
  }

  void onLifecycle(long nowUs, Server server, Lifecycle lifecycle) {
    server.lifecycle = lifecycle;
    boolean mustBeEjected = lifecycle != Lifecycle.READY;
    if (server.ejected == mustBeEjected) {
      return;
    }
    server.ejected = mustBeEjected;
    server.ejectionChangedUs = nowUs;
    raiseStaleEjectionRisk(server, StaleEjectionRisk.ALL_PROXIES);
    boolean cancelled = (mustBeEjected ? reinstatements : ejections).remove(server.id);
    if (!cancelled) {
      (mustBeEjected ? ejections : reinstatements).add(server.id);
    }
  }

  void raiseStaleEjectionRisk(Server server, StaleEjectionRisk risk) {
    if (risk.exceeds(server.staleEjectionRisk)) {
      server.staleEjectionRisk = risk;
      commands.suspectEjection(server.id, risk == StaleEjectionRisk.ALL_PROXIES);
    }
  }

  /** Queues ejections again, for proxies that joined after they were published. */
  void requeueEjections(Collection<Long> servers) {
    ejections.addAll(servers);
  }

  boolean isEjectionPending(long server) {
    return ejections.contains(server);
  }

  boolean isReinstatementPending(long server) {
    return reinstatements.contains(server);
  }

  boolean hasEjections() {
    return !ejections.isEmpty();
  }

  boolean hasReinstatements() {
    return !reinstatements.isEmpty();
  }

  int ejectionCount() {
    return ejections.size();
  }

  /** Counts the pending ejections that match. */
  long countEjections(LongPredicate filter) {
    return ejections.stream().filter(filter::test).count();
  }

  OptionalLong oldestEjection() {
    return ejections.stream().mapToLong(Long::longValue).findFirst();
  }

  /** Removes each ejection that {@code publisher} has published. */
  void publishEjections(LongPredicate publisher) {
    ejections.removeIf(publisher::test);
  }

  /** Removes each reinstatement that {@code publisher} has published. */
  void publishReinstatements(LongPredicate publisher) {
    reinstatements.removeIf(publisher::test);
  }
}
