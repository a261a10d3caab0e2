package pearusher.policy;

import java.util.Collection;
import java.util.Collections;
import java.util.LinkedHashSet;
import java.util.OptionalLong;
import java.util.Set;
import java.util.function.LongPredicate;

/**
 * Queue of ejections and reinstatements pending publication, oldest first. A server that is not
 * ready is ejected at once; a server that is ready again is reinstated. Memory grows with the
 * number of servers whose change is not yet published.
 */
final class EjectionQueue {
  private final PolicyCommands commands;
  private final Set<Long> ejections = new LinkedHashSet<>();
  private final Set<Long> reinstatements = new LinkedHashSet<>();

  EjectionQueue(PolicyCommands commands) {
    this.commands = commands;
  }

  /**
   * Updates the state of a server and queues the ejection or reinstatement that follows from it.
   */
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

  /** Raises the risk of a server and reports it; a risk that is not higher changes nothing. */
  void raiseStaleEjectionRisk(Server server, StaleEjectionRisk risk) {
    if (risk.exceeds(server.staleEjectionRisk)) {
      server.staleEjectionRisk = risk;
      commands.reportStaleEjectionRisk(server.id, risk == StaleEjectionRisk.ALL_PROXIES);
    }
  }

  /** Queues ejections again for proxies that joined after their publication. */
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

  /** Returns the number of pending ejections that match. */
  long countEjections(LongPredicate filter) {
    return ejections.stream().filter(filter::test).count();
  }

  /** Returns the servers whose ejections are pending, oldest first; not to be modified. */
  Set<Long> ejected() {
    return Collections.unmodifiableSet(ejections);
  }

  /** Returns whether any pending ejection matches. */
  boolean anyEjection(LongPredicate filter) {
    return ejections.stream().anyMatch(filter::test);
  }

  OptionalLong oldestEjection() {
    return ejections.stream().mapToLong(Long::longValue).findFirst();
  }

  /** Passes each ejection to the publisher, and removes those for which it returns true. */
  void publishEjections(LongPredicate publisher) {
    ejections.removeIf(publisher::test);
  }

  /** Passes each reinstatement to the publisher, and removes those for which it returns true. */
  void publishReinstatements(LongPredicate publisher) {
    reinstatements.removeIf(publisher::test);
  }
}
