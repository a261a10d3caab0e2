package pearusher.protocol;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import pearusher.policy.AdmissionLevel;

/**
 * One of the messages that make up an update for a proxy. An update is divided if request classes
 * need different content, or if a table is too long for one message.
 *
 * @param classes the names of the request classes that the part applies to; empty for all classes
 * @param replacesTable true if the weights are the complete table, false if they are changes to it
 * @param weights the weight of each server by its id; 0 removes the server from the table
 * @param admission the admission level, if it changes
 * @param ejected the ids of servers that the proxy is to eject
 * @param reinstated the ids of servers that the proxy is to reinstate
 * @param ackNumber the acknowledgement number for the proxy to send back; empty if no
 *     acknowledgement is requested
 */
public record UpdatePart(
    Optional<List<String>> classes,
    boolean replacesTable,
    Map<String, Double> weights,
    Optional<AdmissionLevel> admission,
    List<String> ejected,
    List<String> reinstated,
    OptionalInt ackNumber) {}
