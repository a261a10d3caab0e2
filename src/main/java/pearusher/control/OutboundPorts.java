package pearusher.control;

/**
 * The outbound interfaces of the controller. They are set after the controller is constructed,
 * because their implementations require the controller as the receiver of events.
 *
 * @param calls the calls to discovery and servers
 * @param peers the messages to other assigners
 */
record OutboundPorts(OutboundCalls calls, PeerMessenger peers) {}
