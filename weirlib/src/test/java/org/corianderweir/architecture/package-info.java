/** Rules that hold for the whole library. */
package org.corianderweir.architecture;
