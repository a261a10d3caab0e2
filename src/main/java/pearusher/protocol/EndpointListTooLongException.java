package pearusher.protocol;

import pearusher.sitesettings.SettingsException;

/** An endpoint list that has more servers than the heap allows; the message states the limit. */
public final class EndpointListTooLongException extends SettingsException {
  private static final long serialVersionUID = 1L;

  EndpointListTooLongException(String message) {
    super(message);
  }
}
