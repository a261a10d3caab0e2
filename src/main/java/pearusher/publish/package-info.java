/**
 * The state published to proxies: tables with their weights and admission levels, ejections, and
 * the announcements on each proxy's stream. The package composes one update per proxy and
 * event-loop iteration, on the event-loop thread. It takes no assignment decisions.
 */
package pearusher.publish;
