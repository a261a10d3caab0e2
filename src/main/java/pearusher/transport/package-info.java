/**
 * Server sockets and connections: the listening socket for proxies and collectors, their RESP
 * streams, and datagrams between assigners. Runs on the threads of Jetty's selectors and of their
 * executor, and passes messages to the event loop of the controller. Takes no decisions on tables.
 */
package pearusher.transport;
