/**
 * Server sockets and connections: the listening socket for proxies and collectors, their RESP
 * streams, and datagrams between assigners. Its threads are those of Jetty's selectors and their
 * executor; messages go to the controller's event loop. It decides nothing about tables.
 */
package pearusher.transport;
