/** The commands of {@code weirctl}. Each command is a class of its own. */
@NullMarked
package org.corianderweir.ctl.command;

import org.jspecify.annotations.NullMarked;
