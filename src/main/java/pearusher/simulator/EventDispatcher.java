package pearusher.simulator;

import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import pearusher.policy.AssignmentPolicy;
import pearusher.policy.AttemptReport;
import pearusher.policy.HealthCheckResult;
import pearusher.policy.ListUpdateKind;
import pearusher.policy.PolicySettings;
import pearusher.policy.ServerEntry;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.PolicySettingsReader;
import pearusher.sitesettings.SettingsException;

/** Decoder of the event records of one batch, which it delivers to the policy instances. */
final class EventDispatcher {
  /**
   * Results of health checks by the status code in the record. Any other status is decoded as
   * {@link HealthCheckResult#OTHER}.
   */
  private static final Map<Integer, HealthCheckResult> RESULT_BY_STATUS =
      Map.of(
          200, HealthCheckResult.OK,
          502, HealthCheckResult.ERROR,
          429, HealthCheckResult.REJECTED,
          408, HealthCheckResult.TIMED_OUT,
          521, HealthCheckResult.UNREACHABLE,
          520, HealthCheckResult.DISCONNECTED);

  private final PolicyInstances instances;
  private final long nowUs;
  private final RecordReader in;

  EventDispatcher(PolicyInstances instances, long nowUs, RecordReader in) {
    this.instances = instances;
    this.nowUs = nowUs;
    this.in = in;
  }

  /**
   * Decodes a record and delivers its event.
   *
   * @param instance the number of the instance
   * @param code the code of the record, which has already been read
   * @throws SimulatorProtocolException if the code is unknown, or the record is truncated or
   *     invalid
   */
  void dispatch(int instance, int code) throws SimulatorProtocolException {
    EventCode event =
        EventCode.of(code)
            .orElseThrow(
                () ->
                    in.fault(
                        SimulatorProtocolException.Kind.UNKNOWN_CODE,
                        "unknown record code " + code));
    if (event == EventCode.START) {
      instances.start(instance, readSettings());
    } else if (event == EventCode.STOP) {
      instances.stop(instance);
    } else {
      instances.deliver(instance, decode(event));
    }
  }

  private PolicySettings readSettings() throws SimulatorProtocolException {
    long seed = in.readU64();
    String text = in.readText();
    try {
      return PolicySettingsReader.read(seed, PathValues.parseLines(text));
    } catch (SettingsException e) {
      throw new SimulatorProtocolException(
          SimulatorProtocolException.Kind.INVALID_SETTINGS, e.getMessage());
    }
  }

  private Consumer<AssignmentPolicy> decode(EventCode event) throws SimulatorProtocolException {
    return switch (event) {
      case ENDPOINT_LIST -> endpointList();
      case TIMER -> timer();
      case HEALTH_CHECK_RESULT -> healthCheckResult();
      case PEER_MESSAGE -> peerMessage();
      case PROXY_JOINED -> proxyJoined();
      case PROXY_LEFT -> proxyLeft();
      case ACKNOWLEDGEMENT -> acknowledgement();
      case LOAD_REPORT -> loadReport();
      case USAGE_REPORT -> usageReport();
      case SLICE_USAGE_REPORT -> sliceUsageReport();
      case SLICE_ASSIGNMENT -> sliceAssignment();
      case SLICE_WEIGHT -> sliceWeight();
      case START, STOP, INSTANCE ->
          throw new IllegalArgumentException("not a policy event: " + event);
    };
  }

  private Consumer<AssignmentPolicy> endpointList() throws SimulatorProtocolException {
    ListUpdateKind kind = EndpointListDecoder.readKind(in);
    in.readU32(); // The version of the list; unused, because policies do not take it.
    List<ServerEntry> entries = EndpointListDecoder.readEntries(in);
    return policy -> policy.onEndpointList(nowUs, kind, entries);
  }

  private Consumer<AssignmentPolicy> timer() throws SimulatorProtocolException {
    long token = in.readU64();
    return policy -> policy.onTimer(nowUs, token);
  }

  private Consumer<AssignmentPolicy> healthCheckResult() throws SimulatorProtocolException {
    long server = in.readServer();
    HealthCheckResult result = RESULT_BY_STATUS.getOrDefault(in.readU16(), HealthCheckResult.OTHER);
    long durationUs = in.readU32();
    float[] load = in.readLoad();
    return policy -> policy.onHealthCheckResult(nowUs, server, result, durationUs, load);
  }

  private Consumer<AssignmentPolicy> peerMessage() throws SimulatorProtocolException {
    int peer = in.readU16();
    byte[] body = in.readBytes(in.readU16());
    return policy -> policy.onPeerMessage(nowUs, peer, body);
  }

  private Consumer<AssignmentPolicy> proxyJoined() throws SimulatorProtocolException {
    int proxy = in.readU16();
    int zone = in.readU8();
    float requestsPerSecond = in.readFloat();
    boolean hasNoTable = in.readFlag();
    return policy -> policy.onProxyJoined(nowUs, proxy, zone, requestsPerSecond, hasNoTable);
  }

  private Consumer<AssignmentPolicy> proxyLeft() throws SimulatorProtocolException {
    int proxy = in.readU16();
    return policy -> policy.onProxyLeft(nowUs, proxy);
  }

  private Consumer<AssignmentPolicy> acknowledgement() throws SimulatorProtocolException {
    long delayUs = in.readU32();
    int number = (int) in.readU32();
    int proxy = in.readU16();
    return policy -> policy.onAcknowledgement(nowUs, proxy, number, delayUs);
  }

  private Consumer<AssignmentPolicy> loadReport() throws SimulatorProtocolException {
    long attempts = in.readU32();
    long failed = in.readU32();
    long spanUs = in.readU32();
    int zone = in.readU8();
    long server = in.readServer();
    long meanUs = in.readU32();
    float[] load = in.readLoad();
    AttemptReport report =
        AttemptReport.ofSpanEndingNow(server, zone, attempts, failed, spanUs, meanUs, load);
    return policy -> policy.onLoadReport(nowUs, report);
  }

  private Consumer<AssignmentPolicy> usageReport() throws SimulatorProtocolException {
    int proxy = in.readU16();
    int requestClass = in.readU8();
    long requests = in.readU32();
    long failed = in.readU32();
    long spanUs = in.readU32();
    return policy -> policy.onUsageReport(nowUs, proxy, requestClass, requests, failed, spanUs);
  }

  private Consumer<AssignmentPolicy> sliceUsageReport() throws SimulatorProtocolException {
    long requests = in.readU32();
    long failed = in.readU32();
    int requestClass = in.readU8();
    int slice = in.readU16();
    long spanUs = in.readU32();
    return policy ->
        policy.onSliceUsageReport(nowUs, slice, requestClass, requests, failed, spanUs);
  }

  private Consumer<AssignmentPolicy> sliceAssignment() throws SimulatorProtocolException {
    boolean isAssigned = in.readFlag();
    int slice = in.readU16();
    return policy -> policy.onSliceAssignment(nowUs, slice, isAssigned);
  }

  private Consumer<AssignmentPolicy> sliceWeight() throws SimulatorProtocolException {
    int slice = in.readU16();
    long server = in.readServer();
    float weight = in.readFloat();
    return policy -> policy.onSliceWeight(nowUs, slice, server, weight);
  }
}
