package pearusher.control;

/**
 * The controller's connections to the outside, which are made after the controller itself because
 * they deliver events to it.
 */
record OutboundPorts(OutboundCalls calls, PeerMessenger peers) {}
