package io.jacinthquay.standalone;

import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.Program;
import io.jacinthquay.runtime.Service;
import io.jacinthquay.runtime.settings.Settings;
import io.jacinthquay.standalone.StandaloneSettings.Mode;

/** The program {@code jq-standalone}. */
public final class StandaloneMain {
  private StandaloneMain() {}

  /**
   * Runs all components in one process.
   *
   * @param args the command line; {@code --help} lists the flags
   */
  public static void main(String[] args) {
    System.exit(Program.run(StandaloneSettings.PARSER, args, StandaloneMain::service).number());
  }

  private static Service service(Settings settings) {
    StandaloneSettings standaloneSettings = StandaloneSettings.from(settings);
    StandaloneService service = new StandaloneService(standaloneSettings);
    return standaloneSettings.mode() == Mode.DEMO ? new DemoMode(service) : new ServeMode(service);
  }

  /** Runs the demo session and exits the process. */
  private record DemoMode(StandaloneService service) implements Service {
    @Override
    public void start() {
      service.start();
      Thread session = new Thread(this::run, "demo");
      session.setDaemon(true);
      session.start();
    }

    private void run() {
      ExitCode code = ExitCode.FAILURE;
      try {
        new DemoSession(service, System.out).run();
        code = ExitCode.OK;
      } catch (RuntimeException e) {
        System.err.println(e.getMessage());
      }
      System.exit(code.number());
    }

    @Override
    public void stop() {
      service.stop();
      System.out.println();
      System.out.println("== stopped");
    }
  }

  /** Serves until stopped and prints an example call. */
  private record ServeMode(StandaloneService service) implements Service {
    @Override
    public void start() {
      service.start();
      String key = service.operator().issueKey("lakeshore");
      System.out.println("Serving. Example call:");
      System.out.println(
          "curl -N http://127.0.0.1:"
              + service.routerPort()
              + "/v1/chat/completions -H 'Authorization: Bearer "
              + key
              + "' -H 'Content-Type: application/json' -d '"
              + "{\"model\":\"mender-8b\",\"stream\":true,\"max_tokens\":24,"
              + "\"messages\":[{\"role\":\"user\",\"content\":\"Hello\"}]}'");
    }

    @Override
    public void stop() {
      service.stop();
    }
  }
}
