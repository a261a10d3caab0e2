package pearusher.protocol;

import java.io.ByteArrayOutputStream;
import java.math.BigDecimal;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import pearusher.policy.AdmissionLevel;

/** Encoder of the messages from the assigner to proxies and collectors. Stateless. */
public final class MessageEncoder {
  private static final String PONG = "pong";
  private static final String UPDATE = "update";

  private static final String ACK_NUMBER = "ticket";
  private static final String ADMISSION_LEVEL = "level";
  private static final String CLASSES = "classes";
  private static final String EJECTED = "out";
  private static final String MORE_PARTS = "more";
  private static final String REINSTATED = "back";
  private static final String REPLACES_TABLE = "whole";
  private static final String RETRY_POLICY = "retry";
  private static final String WEIGHTS = "lines";

  private static final String YES = "1";
  private static final String CLASS_SEPARATOR = "+";
  private static final String LIST_SEPARATOR = ",";
  private static final String PAIR_SEPARATOR = ":";
  private static final int INITIAL_BUFFER_BYTES = 256;

  private MessageEncoder() {}

  /** Returns the encoded response to a ping. */
  public static byte[] encodePong() {
    return RespWriter.encode(List.of(PONG));
  }

  /**
   * Encodes one update for a proxy.
   *
   * @param parts the parts of the update, in the order in which the proxy applies them
   * @return the RESP arrays of all parts
   */
  public static byte[] encodeUpdate(List<UpdatePart> parts) {
    ByteArrayOutputStream out = new ByteArrayOutputStream(INITIAL_BUFFER_BYTES);
    int last = parts.size() - 1;
    for (int k = 0; k < parts.size(); k++) {
      out.writeBytes(RespWriter.encode(fields(parts.get(k), k < last)));
    }
    return out.toByteArray();
  }

  private static List<String> fields(UpdatePart part, boolean hasMoreParts) {
    List<String> fields = new ArrayList<>(List.of(UPDATE));
    part.classes().ifPresent(classes -> add(fields, CLASSES, join(CLASS_SEPARATOR, classes)));
    if (part.replacesTable()) {
      add(fields, REPLACES_TABLE, YES);
    }
    if (!part.weights().isEmpty()) {
      add(fields, WEIGHTS, formatWeights(part.weights()));
    }
    part.admission().ifPresent(admission -> addAdmission(fields, admission));
    if (!part.ejected().isEmpty()) {
      add(fields, EJECTED, join(LIST_SEPARATOR, part.ejected()));
    }
    if (!part.reinstated().isEmpty()) {
      add(fields, REINSTATED, join(LIST_SEPARATOR, part.reinstated()));
    }
    part.ackNumber().ifPresent(number -> add(fields, ACK_NUMBER, Integer.toString(number)));
    if (hasMoreParts) {
      add(fields, MORE_PARTS, YES);
    }
    return fields;
  }

  private static void addAdmission(List<String> fields, AdmissionLevel admission) {
    add(fields, ADMISSION_LEVEL, formatDecimal(admission.shareOrRate()));
    add(fields, RETRY_POLICY, Integer.toString(admission.retryMode()));
  }

  private static void add(List<String> fields, String name, String value) {
    fields.add(name);
    fields.add(value);
  }

  private static String join(String separator, List<String> values) {
    return String.join(separator, values);
  }

  private static String formatWeights(Map<String, Double> weights) {
    StringJoiner pairs = new StringJoiner(LIST_SEPARATOR);
    weights.forEach((server, weight) -> pairs.add(server + PAIR_SEPARATOR + formatDecimal(weight)));
    return pairs.toString();
  }

  /** Formats a number in single precision, as the simulator does, and without an exponent. */
  static String formatDecimal(double value) {
    return new BigDecimal(Float.toString((float) value)).toPlainString();
  }
}
