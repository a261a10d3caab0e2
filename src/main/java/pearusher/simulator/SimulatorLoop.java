package pearusher.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.BiFunction;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.PolicyCommands;
import pearusher.policy.PolicySettings;

/**
 * Main loop of the simulator protocol: reads batches of events, delivers them to the policy
 * instances and writes one reply per batch. Single-threaded.
 */
public final class SimulatorLoop {
  private static final int NO_INSTANCE = -1;

  private final ReplyWriter reply = new ReplyWriter();
  private final PolicyInstances instances;

  /**
   * Creates a loop without instances.
   *
   * @param factory creates the policy of each instance that the simulator starts
   */
  public SimulatorLoop(BiFunction<PolicySettings, PolicyCommands, AssignmentPolicy> factory) {
    instances = new PolicyInstances(factory, reply);
  }

  /**
   * Processes batches until the end of the input.
   *
   * @throws IOException if reading the input or writing the output fails
   * @throws SimulatorProtocolException if the input violates the protocol; replies to all earlier
   *     batches have been written
   */
  public void run(InputStream in, OutputStream out) throws IOException, SimulatorProtocolException {
    long offset = 0;
    Optional<Frame> next = Frame.read(in, offset);
    while (next.isPresent()) {
      Frame frame = next.get();
      out.write(replyTo(frame, offset));
      out.flush();
      offset += frame.size();
      next = Frame.read(in, offset);
    }
  }

  private byte[] replyTo(Frame frame, long offset) throws SimulatorProtocolException {
    try {
      return replyTo(frame);
    } catch (SimulatorProtocolException e) {
      throw e.inFrameAt(offset);
    }
  }

  private byte[] replyTo(Frame frame) throws SimulatorProtocolException {
    reply.clear();
    for (int instance : dispatchEvents(frame)) {
      reply.setInstance(instance);
      instances.deliver(instance, policy -> policy.onBatchEnd(frame.nowUs()));
    }
    return reply.toFrame();
  }

  /**
   * Delivers the events of a batch.
   *
   * @return the numbers of the instances that the events were addressed to, in ascending order
   */
  private Set<Integer> dispatchEvents(Frame frame) throws SimulatorProtocolException {
    RecordReader in = new RecordReader(frame.body());
    EventDispatcher dispatcher = new EventDispatcher(instances, frame.nowUs(), in);
    Set<Integer> addressedInstances = new TreeSet<>();
    int instance = NO_INSTANCE;
    for (long count = 0; count < frame.recordCount(); count++) {
      int code = nextCode(in, frame, count);
      if (EventCode.of(code).filter(EventCode.INSTANCE::equals).isPresent()) {
        instance = in.readU16();
        continue;
      }
      if (instance == NO_INSTANCE) {
        throw in.fault(
            SimulatorProtocolException.Kind.NO_INSTANCE, "record before any instance is named");
      }
      reply.setInstance(instance);
      addressedInstances.add(instance);
      dispatcher.dispatch(instance, code);
    }
    if (!in.isAtEnd()) {
      throw lengthMismatch(in, "bytes left after " + frame.recordCount() + " records");
    }
    return addressedInstances;
  }

  private static int nextCode(RecordReader in, Frame frame, long count)
      throws SimulatorProtocolException {
    if (in.isAtEnd()) {
      throw lengthMismatch(in, frame.recordCount() + " records announced, " + count + " came");
    }
    return in.nextRecord();
  }

  private static SimulatorProtocolException lengthMismatch(RecordReader in, String text) {
    return in.fault(
        SimulatorProtocolException.Kind.LENGTH_MISMATCH, "length doesn't add up: " + text);
  }
}
