"""Generates dataclasses from the JSON schemas; the generated files are committed."""

import pathlib
import shutil
import subprocess
import sys

ROOT = pathlib.Path(__file__).resolve().parent.parent
SCHEMA_NAMES = ("messages", "node_settings", "settings")
GENERATED_DIRECTORY = ROOT / "cranberryport" / "generated"


def generate(name):
    """Write ``cranberryport/generated/{name}.py`` from ``schema/{name}.json``."""
    generator = pathlib.Path(sys.executable).parent / "datamodel-codegen"
    command = [str(generator), "--input", str(ROOT / "schema" / f"{name}.json")]
    command += ["--output", str(GENERATED_DIRECTORY / f"{name}.py")]
    command += ["--input-file-type", "jsonschema"]
    command += ["--output-model-type", "dataclasses.dataclass"]
    command += ["--dataclass-arguments", '{"slots": true, "kw_only": true}']
    command += ["--target-python-version", "3.11", "--use-schema-description"]
    command += ["--use-field-description", "--enum-field-as-literal", "all"]
    command += [
        "--formatters",
        "builtin",
        "--disable-timestamp",
        "--use-standard-collections",
    ]
    command += ["--use-union-operator", "--disable-future-imports"]
    # Without this option the type of each field with a default also allows None.
    command += ["--strict-nullable"]
    subprocess.run(command, check=True)


if __name__ == "__main__":
    for schema_name in SCHEMA_NAMES:
        generate(schema_name)
    # The settings are checked against this schema at run time, also in an installed
    # package, which does not contain the directory schema/.
    shutil.copyfile(
        ROOT / "schema" / "settings.json", GENERATED_DIRECTORY / "settings.json"
    )
