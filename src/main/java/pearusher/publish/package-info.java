/**
 * The state that proxies are sent: tables with their weights and admission levels, ejections, and
 * what was announced on each proxy's stream. It composes one update per proxy and event-loop
 * iteration, on the event-loop thread, and decides nothing.
 */
package pearusher.publish;
