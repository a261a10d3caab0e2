package pearusher.protocol;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteBufferFeeder;
import java.io.IOException;
import java.io.InputStream;
import java.nio.ByteBuffer;
import java.util.Optional;
import pearusher.sitesettings.PathValues;
import pearusher.sitesettings.SettingsException;

/**
 * Incremental reader of endpoint lists, which arrive as consecutive JSON objects in the response of
 * discovery. Each response needs its own reader. Not thread-safe. Its memory use is proportional to
 * the number of servers, not to the length of the text. A malformed object is reported at its end;
 * a list that exceeds the limits is reported immediately.
 */
public final class EndpointListReader {
  private static final String DOCUMENT_NAME = "list";

  /** The longest encoding of a character: a backslash, the letter u and four digits. */
  private static final int MAX_BYTES_PER_CHARACTER = 6;

  private final WireNames names;
  private final EndpointListLimits limits;
  private final JsonFactory factory;

  /** Parser of the current object; null before its first byte. */
  private JsonParser parser;

  private EndpointListBuilder builder;
  private SettingsException fault;

  /** Bytes received since the last token, which the parser buffers. */
  private long unparsedBytes;

  /** Whether the current line is empty, apart from one carriage return. */
  private boolean lineEmpty = true;

  /**
   * Creates a reader.
   *
   * @param names the names of zones and machine types
   * @param limits the limits on each list
   */
  public EndpointListReader(WireNames names, EndpointListLimits limits) {
    this.names = names;
    this.limits = limits;
    factory = createFactory(limits);
  }

  /**
   * Creates a factory whose parsers do not cache field names: a peer could fill the cache with new
   * names.
   */
  private static JsonFactory createFactory(EndpointListLimits limits) {
    return JsonFactory.builder()
        .disable(JsonFactory.Feature.INTERN_FIELD_NAMES)
        .disable(JsonFactory.Feature.CANONICALIZE_FIELD_NAMES)
        .streamReadConstraints(
            StreamReadConstraints.builder().maxStringLength(limits.maxTextLength()).build())
        .build();
  }

  /**
   * Parses all remaining bytes of a buffer.
   *
   * @param bytes the received bytes, without line ends
   * @throws EndpointListTooLongException if the list has more servers than the limits allow
   */
  public void feed(ByteBuffer bytes) throws EndpointListTooLongException {
    if (!bytes.hasRemaining()) {
      return;
    }
    lineEmpty = lineEmpty && parser == null && isCarriageReturn(bytes);
    if (fault == null) {
      parseOrRecordFault(bytes);
    }
    bytes.position(bytes.limit());
  }

  private static boolean isCarriageReturn(ByteBuffer bytes) {
    return bytes.remaining() == 1 && bytes.get(bytes.position()) == '\r';
  }

  private void parseOrRecordFault(ByteBuffer bytes) throws EndpointListTooLongException {
    try {
      parse(bytes);
    } catch (EndpointListTooLongException e) {
      reset();
      throw e;
    } catch (SettingsException e) {
      recordFault(e);
    } catch (IOException e) {
      recordFault(PathValues.malformed(DOCUMENT_NAME, e));
    }
  }

  private void parse(ByteBuffer bytes) throws IOException, SettingsException {
    openParser();
    unparsedBytes += bytes.remaining();
    feeder().feedInput(bytes);
    processTokens();
    // The parser checks the length of a number only once the number is complete.
    long maxUnparsedBytes = (long) limits.maxTextLength() * MAX_BYTES_PER_CHARACTER;
    if (unparsedBytes > maxUnparsedBytes) {
      throw new SettingsException(
          DOCUMENT_NAME
              + ": malformed JSON: unfinished value of "
              + unparsedBytes
              + " bytes exceeds "
              + maxUnparsedBytes
              + " bytes");
    }
  }

  /** Returns whether the current object is invalid, which is reported at its end. */
  boolean hasFault() {
    return fault != null;
  }

  /** Records a fault of the current object and ignores the rest of the object. */
  private void recordFault(SettingsException cause) {
    reset();
    lineEmpty = false;
    fault = cause;
  }

  private void openParser() throws IOException {
    if (parser == null) {
      parser = factory.createNonBlockingByteBufferParser();
      builder = new EndpointListBuilder(DOCUMENT_NAME, "", names, limits);
    }
  }

  private ByteBufferFeeder feeder() {
    return (ByteBufferFeeder) parser.getNonBlockingInputFeeder();
  }

  private void processTokens() throws IOException, SettingsException {
    JsonToken token = parser.nextToken();
    while (token != null && token != JsonToken.NOT_AVAILABLE) {
      unparsedBytes = 0;
      builder.accept(token, parser);
      token = parser.nextToken();
    }
  }

  /**
   * Processes the end of a line; the next byte starts a new line.
   *
   * @return the list in the line; empty for an empty line
   * @throws SettingsException if the line is not a valid endpoint list
   */
  public Optional<EndpointList> endOfLine() throws SettingsException {
    if (lineEmpty) {
      reset();
      return Optional.empty();
    }
    return Optional.of(endOfBody());
  }

  /**
   * Processes the end of a response body that consists of one list.
   *
   * @return the list
   * @throws SettingsException if the body is not a valid endpoint list
   */
  public EndpointList endOfBody() throws SettingsException {
    try {
      if (fault == null) {
        openParser();
        feeder().endOfInput();
        processTokens();
      }
      if (fault != null) {
        throw fault;
      }
      if (!builder.isComplete()) {
        throw EndpointListBuilder.notAnObject(DOCUMENT_NAME);
      }
      return builder.build();
    } catch (IOException e) {
      throw PathValues.malformed(DOCUMENT_NAME, e);
    } finally {
      reset();
    }
  }

  private void reset() {
    JsonParser previous = parser;
    parser = null;
    builder = null;
    fault = null;
    unparsedBytes = 0;
    lineEmpty = true;
    if (previous != null) {
      close(previous);
    }
  }

  private static void close(JsonParser parser) {
    try {
      parser.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /**
   * Reads the list under a top-level key of a document.
   *
   * @param documentName the name of the document, with which each error message begins
   * @param key the top-level key of the list
   * @param document the document, which must be well-formed JSON
   * @param names the names of zones and machine types
   * @param limits the limits on the list
   * @return the list; {@link EndpointList#EMPTY} if the document has none
   * @throws IOException if the document cannot be read
   * @throws SettingsException if the list is invalid or exceeds the limits
   */
  public static EndpointList readUnderKey(
      String documentName,
      String key,
      InputStream document,
      WireNames names,
      EndpointListLimits limits)
      throws IOException, SettingsException {
    EndpointListBuilder found = null;
    try (JsonParser parser = createFactory(limits).createParser(document)) {
      parser.nextToken();
      while (parser.nextToken() == JsonToken.FIELD_NAME) {
        boolean matches = parser.currentName().equals(key);
        if (parser.nextToken() == JsonToken.START_OBJECT && matches) {
          found = new EndpointListBuilder(documentName, key + ".", names, limits);
          build(found, parser);
        } else {
          parser.skipChildren();
        }
      }
    } catch (EndpointListTooLongException e) {
      throw new EndpointListTooLongException(
          documentName + ": the key " + key + ".instances names " + e.getMessage());
    }
    return found != null && found.hasGeneration() ? found.build() : EndpointList.EMPTY;
  }

  private static void build(EndpointListBuilder builder, JsonParser parser)
      throws IOException, SettingsException {
    for (JsonToken token = parser.currentToken(); token != null; token = parser.nextToken()) {
      builder.accept(token, parser);
      if (builder.isComplete()) {
        return;
      }
    }
  }
}
