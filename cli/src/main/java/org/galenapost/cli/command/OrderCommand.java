package org.galenapost.cli.command;

import com.beust.jcommander.Parameter;
import com.beust.jcommander.Parameters;
import io.vavr.control.Either;
import java.util.ArrayList;
import java.util.List;
import org.galenapost.cli.CommandFailure;

/** Lists the orders to engines. */
@Parameters(commandDescription = "orders to engines, their holders and fencing numbers: list")
public final class OrderCommand implements Command {

  @Parameter(description = "list")
  private List<String> positionals = new ArrayList<>();

  @Override
  public Either<CommandFailure, Invocation> prepare() {
    CommandArguments given = new CommandArguments("order", "list", positionals);
    return given.isAction("list", 0)
        ? Either.right((client, output) -> ListPrinter.print(client, output, "/v1/orders"))
        : given.usageError();
  }
}
