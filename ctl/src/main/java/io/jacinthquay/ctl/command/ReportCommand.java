package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.report.BurnDocument;
import io.jacinthquay.ctl.report.BurnPage;
import io.jacinthquay.ctl.report.BurnTable;
import io.jacinthquay.ctl.report.RouterReportClient;
import io.jacinthquay.ctl.report.RouterSloReport;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.settings.SocketAddresses;
import io.jacinthquay.runtime.tls.TlsIdentity;
import io.vavr.control.Either;
import java.io.IOException;
import java.net.InetSocketAddress;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The subcommand that shows service levels and error budgets over all routers. */
final class ReportCommand implements Command {
  private static final String ROUTERS = "routers";
  private static final String HTML = "html";

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser = subparsers.addParser("report").help("show service-level burn");
    parser
        .addArgument("--routers")
        .dest(ROUTERS)
        .required(true)
        .help("inner addresses of the routers, as comma-separated ip:port");
    parser.addArgument("--html").dest(HTML).help("also write one HTML page to this file");
    parser.setDefault(CommandLine.COMMAND, this);
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    return PolicyFetcher.fetch(context)
        .flatMap(
            policy -> fetchReports(args, context).map(reports -> BurnDocument.of(reports, policy)))
        .flatMap(document -> writePage(args, document))
        .fold(context::fail, document -> print(context, document));
  }

  /** Fetches the report of each router; those that fail are printed as a note and left out. */
  private static Either<Failure, List<RouterSloReport>> fetchReports(
      Namespace args, Context context) {
    try {
      TlsIdentity identity = TlsIdentity.load(Path.of(args.getString(CommandLine.TLS)));
      RouterReportClient client =
          new RouterReportClient(identity, args.getInt(CommandLine.TIMEOUT_MILLIS));
      List<RouterSloReport> reports = new ArrayList<>();
      for (InetSocketAddress router : addresses(args.getString(ROUTERS))) {
        client
            .fetch(router)
            .peek(reports::add)
            .peekLeft(failure -> context.printer().note(failure.detail()));
      }
      return Either.right(reports);
    } catch (IOException | IllegalArgumentException e) {
      return Either.left(Failure.of(ResultCode.SETTINGS_INVALID, e.getMessage()));
    }
  }

  private static List<InetSocketAddress> addresses(String text) {
    return Arrays.stream(text.split(",")).map(SocketAddresses::parse).toList();
  }

  private static Either<Failure, BurnDocument> writePage(Namespace args, BurnDocument document) {
    String file = args.getString(HTML);
    if (file == null) {
      return Either.right(document);
    }
    try {
      Files.writeString(Path.of(file), BurnPage.write(document));
      return Either.right(document);
    } catch (IOException e) {
      return Either.left(
          Failure.of(ResultCode.SETTINGS_INVALID, "cannot write " + file + ": " + e.getMessage()));
    }
  }

  private static ExitCode print(Context context, BurnDocument document) {
    context.printer().print(document, BurnTable.write(document));
    return ExitCode.OK;
  }
}
