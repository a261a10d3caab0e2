/**
 * The state that proxies are told, by version: tables with their weights and admission levels,
 * ejections, and what each proxy stream has been sent. It composes one update per proxy and
 * event-loop iteration, on the event-loop thread, and decides nothing.
 */
package pearusher.publish;
