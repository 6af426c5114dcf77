package io.jacinthquay.ctl.command;

import io.jacinthquay.ctl.output.Table;
import io.jacinthquay.model.Failure;
import io.jacinthquay.model.ResultCode;
import io.jacinthquay.model.VmId;
import io.jacinthquay.runtime.ExitCode;
import io.jacinthquay.runtime.tls.CertificateAuthority;
import io.jacinthquay.runtime.tls.PeerIdentity;
import io.jacinthquay.runtime.tls.PeerRole;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/**
 * The subcommand that creates a certificate authority and identities for a test cluster.
 *
 * <p>The private key of the authority is not stored.
 */
final class TlsInitCommand implements Command {
  /** The JSON form of one identity. */
  record Line(String name, String role, String folder) {}

  /** The JSON form of the result. */
  record Result(List<Line> identities) {}

  @Override
  public void addTo(Subparsers subparsers) {
    Subparser parser =
        subparsers
            .addParser("tls-init")
            .help("create a certificate authority and identities for a test cluster");
    parser.setDefault(CommandLine.COMMAND, this);
    parser
        .addArgument("--out")
        .required(true)
        .help("folder in which a folder per identity is created");
    parser
        .addArgument("identity")
        .nargs("+")
        .help("name=role with the role operator, router, keeper or controller");
  }

  @Override
  public ExitCode run(Namespace args, Context context) {
    Path out = Path.of(args.getString("out"));
    try {
      List<PeerIdentity> identities = new ArrayList<>();
      for (String text : args.<String>getList("identity")) {
        identities.add(parseIdentity(text));
      }
      return issue(identities, out, context);
    } catch (IllegalArgumentException e) {
      return context.fail(Failure.of(ResultCode.SETTINGS_INVALID, e.getMessage()));
    } catch (IOException e) {
      return context.fail(Failure.of(ResultCode.STORAGE_FAILED, String.valueOf(e.getMessage())));
    }
  }

  private static PeerIdentity parseIdentity(String text) {
    int separator = text.indexOf('=');
    PeerRole role =
        PeerRole.of(text.substring(separator + 1))
            .filter(parsed -> separator > 0)
            .orElseThrow(() -> new IllegalArgumentException("must be name=role: " + text));
    return new PeerIdentity(new VmId(text.substring(0, separator)).value(), role);
  }

  private static ExitCode issue(List<PeerIdentity> identities, Path out, Context context)
      throws IOException {
    for (PeerIdentity identity : identities) {
      if (Files.exists(out.resolve(identity.name()))) {
        throw new IllegalArgumentException(out.resolve(identity.name()) + " already exists");
      }
    }
    CertificateAuthority authority = CertificateAuthority.create();
    List<Line> lines = new ArrayList<>();
    Table table = Table.of("NAME", "ROLE", "FOLDER");
    for (PeerIdentity identity : identities) {
      Path folder = out.resolve(identity.name());
      authority.issue(identity, folder);
      lines.add(new Line(identity.name(), identity.role().text(), folder.toString()));
      table.row(identity.name(), identity.role().text(), folder);
    }
    context.printer().print(new Result(lines), table);
    return ExitCode.OK;
  }
}
